// The table of a plan's keys, and who may access a job.
#include <chrono>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/customer_keys.h"
#include "Scheduling/job.h"
#include "Scheduling/job_access.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

class CustomerKeysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CustomerKeysTest);
  CPPUNIT_TEST(FaultyKeysBelongToNobody);
  CPPUNIT_TEST(ManyKeysAreFound);
  CPPUNIT_TEST(AccessByTable);
  CPPUNIT_TEST(ProgressNamesTheCustomer);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against one customer's key that acts for another.
  void FaultyKeysBelongToNobody() {
    const CustomerKeys keys({{"a", {"1", "twice", "twice", "all"}, 0, {}},
                             {"b", {"2", "all", ""}, 0, {}},
                             {"c", {"all"}, 0, {}},
                             {"", {"3"}, 0, {}}});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), *keys.Find("1"));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), *keys.Find("2"));
    // The same customer may list a key twice.
    CPPUNIT_ASSERT_EQUAL(std::string("a"), *keys.Find("twice"));
    for (const char* key : {"all", "", "3", "tw", "twicetwice", "11"}) {
      CPPUNIT_ASSERT_MESSAGE(key, keys.Find(key) == nullptr);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, keys.faults().ambiguous);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, keys.faults().unusable);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, keys.faults().customers.size());
    CPPUNIT_ASSERT(!CustomerKeys({}).faults().any());
  }

  // Guards against a table that loses keys, or has more entries than the plan.
  void ManyKeysAreFound() {
    std::vector<CustomerConfig> customers(100);
    for (size_t i = 0; i < customers.size(); ++i) {
      customers[i].name = absl::StrCat("c", i);
      for (int k = 0; k < 200; ++k) {
        customers[i].keys.push_back(absl::StrCat("key", i, "/", k));
      }
    }
    const CustomerKeys keys(customers);
    CPPUNIT_ASSERT_EQUAL(size_t{20'000}, keys.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c57"), *keys.Find("key57/199"));
    CPPUNIT_ASSERT(keys.Find("key57/200") == nullptr);
  }

  // Guards against a rule that opens jobs to calls without a key.
  void AccessByTable() {
    struct Case {
      JobParty call;
      JobParty job;
      bool allowed;
    };
    const Case cases[] = {
        {{"a", "q"}, {"a", "q"}, true},  {{"a", "r"}, {"a", "q"}, true},
        {{"b", "q"}, {"a", "q"}, false}, {{"b", "q"}, {"", "q"}, true},
        {{"", "q"}, {"a", "q"}, true},   {{"", "r"}, {"a", "q"}, false},
        {{"", "r"}, {"", "q"}, true},
    };
    for (const Case& test : cases) {
      CPPUNIT_ASSERT_EQUAL(test.allowed, MayAccessJob(test.call, test.job));
    }
  }

  // Guards against records that change for deployments without customers, and
  // against a record of an ended job without its customer.
  void ProgressNamesTheCustomer() {
    Job job;
    JobSpec spec;
    spec.id = "j";
    spec.queue = "q";
    job.SetSpec(spec);
    job.status = JobStatus::kCompleted;
    const std::string without = FormatProgress(job);
    job.spec.customer = "a";
    const std::string with = FormatProgress(job);
    CPPUNIT_ASSERT_EQUAL(std::string(), ReadJobView(without)->owner.customer);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), ReadJobView(with)->owner.customer);
    CPPUNIT_ASSERT_EQUAL(std::string("q"), ReadJobView(with)->owner.queue);
    Job loaded;
    CPPUNIT_ASSERT(ApplyProgress(with, loaded).has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), loaded.owner().customer);
    CPPUNIT_ASSERT_EQUAL(std::string("q"), loaded.owner().queue);
    CPPUNIT_ASSERT(without.size() < with.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerKeysTest);

}  // namespace
}  // namespace figflow::test
