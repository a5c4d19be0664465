#include "Common/metrics.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(QuantileIsWithinOneBucket);
  CPPUNIT_TEST(OutOfRangeDurationsAreCounted);
  CPPUNIT_TEST(ExposesCountersAndSummaries);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against quantiles that are off by more than the bucket width.
  void QuantileIsWithinOneBucket() {
    LatencyHistogram histogram;
    for (int i = 1; i <= 100; ++i) {
      histogram.Record(milliseconds(i));
    }
    const auto median = histogram.Quantile(0.5);
    CPPUNIT_ASSERT(median >= milliseconds(50));
    CPPUNIT_ASSERT(median <= milliseconds(58));
    CPPUNIT_ASSERT(histogram.Quantile(0.99) >= milliseconds(99));
  }

  // Guards against losing samples below the first or above the last bucket.
  void OutOfRangeDurationsAreCounted() {
    LatencyHistogram histogram;
    histogram.Record(seconds(0));
    histogram.Record(seconds(100000));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, histogram.Count());
    CPPUNIT_ASSERT(histogram.Quantile(1.0) == seconds(1000));
  }

  void ExposesCountersAndSummaries() {
    MetricsRegistry registry;
    registry.GetCounter("figflow_a_total").Add(3);
    registry.GetCounter("figflow_c_total{kind=\"x\"}").Add(1);
    registry.GetCounter("figflow_c_total{kind=\"y\"}").Add(2);
    registry.GetGauge("figflow_g").Set(-4);
    registry.GetHistogram("figflow_b").Record(milliseconds(1));
    const std::string text = registry.Expose();
    // The type stands once before the lines of a name, whatever their labels.
    CPPUNIT_ASSERT(text.find("# TYPE figflow_a_total counter\n"
                             "figflow_a_total 3\n"
                             "# TYPE figflow_c_total counter\n"
                             "figflow_c_total{kind=\"x\"} 1\n"
                             "figflow_c_total{kind=\"y\"} 2\n"
                             "# TYPE figflow_g gauge\n"
                             "figflow_g -4\n"
                             "# TYPE figflow_b_seconds summary\n") == 0);
    CPPUNIT_ASSERT(text.find("figflow_b_seconds_count 1\n") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

}  // namespace
}  // namespace figflow
