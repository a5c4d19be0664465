#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <map>
#include <thread>
#include <vector>

#include "Idempotency/signed_ticket_book.h"

namespace figflow {
namespace {

constexpr std::chrono::minutes kLifetime{5};

WallTime At(int minutes) {
  return WallTime(std::chrono::hours(480'000) + std::chrono::minutes(minutes));
}

SignedTicketBook Book(const std::string& entry = "e1",
                      uint64_t incarnation = 7,
                      const std::string& credential = "secret") {
  return SignedTicketBook(
      TicketOptions{EntryId(entry), incarnation, credential, kLifetime});
}

// Who issues the ticket and what is done to it on the way.
enum class Damage { kNone, kPayload, kEmptyMac, kNoMac, kLong, kReplaced };

struct TicketCase {
  const char* name;
  const char* issuer;
  uint64_t incarnation;
  const char* credential;
  Damage damage;
  int redeemed_at;
  TicketVerdict expected;
};

constexpr TicketCase kTicketCases[] = {
    {"valid", "e1", 7, "secret", Damage::kNone, 4, TicketVerdict::kRun},
    {"caller's own key", "e1", 7, "secret", Damage::kReplaced, 0,
     TicketVerdict::kNotATicket},
    {"forged", "e1", 7, "guess", Damage::kNone, 0, TicketVerdict::kInvalid},
    {"changed", "e1", 7, "secret", Damage::kPayload, 0,
     TicketVerdict::kInvalid},
    {"signature empty", "e1", 7, "secret", Damage::kEmptyMac, 0,
     TicketVerdict::kInvalid},
    {"signature missing", "e1", 7, "secret", Damage::kNoMac, 0,
     TicketVerdict::kInvalid},
    {"too long", "e1", 7, "secret", Damage::kLong, 0, TicketVerdict::kInvalid},
    {"of another entry", "e2", 7, "secret", Damage::kNone, 0,
     TicketVerdict::kOtherEntry},
    {"of another entry, forged", "e2", 7, "guess", Damage::kNone, 0,
     TicketVerdict::kInvalid},
    {"of an earlier incarnation", "e1", 6, "secret", Damage::kNone, 0,
     TicketVerdict::kEarlierIncarnation},
    {"of a later incarnation", "e1", 8, "secret", Damage::kNone, 0,
     TicketVerdict::kEarlierIncarnation},
    {"expired", "e1", 7, "secret", Damage::kNone, 5, TicketVerdict::kInvalid},
    {"entry id with separators", "e/1.x", 7, "secret", Damage::kNone, 0,
     TicketVerdict::kOtherEntry},
};

std::string Damaged(std::string ticket, Damage damage) {
  switch (damage) {
    case Damage::kNone:
      return ticket;
    case Damage::kPayload:
      ticket[6] = ticket[6] == 'A' ? 'B' : 'A';
      return ticket;
    case Damage::kEmptyMac:
      return ticket.substr(0, ticket.rfind('.') + 1);
    case Damage::kNoMac:
      return ticket.substr(0, ticket.rfind('.'));
    case Damage::kLong:
      return ticket + std::string(5000, 'A');
    case Damage::kReplaced:
      return "booking-17";
  }
  return ticket;
}

class TicketsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TicketsTest);
  CPPUNIT_TEST(OnlyValidTicketsRun);
  CPPUNIT_TEST(UsedTicketsNeverRunAgain);
  CPPUNIT_TEST(OneOfManyThreadsRuns);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against running a request for a ticket that this incarnation did
  // not issue, or that anyone could make up.
  void OnlyValidTicketsRun() {
    for (const TicketCase& c : kTicketCases) {
      SignedTicketBook issuer = Book(c.issuer, c.incarnation, c.credential);
      SignedTicketBook redeemer = Book();
      const TicketCheck check = redeemer.Redeem(
          Damaged(issuer.Issue(At(0)), c.damage), At(c.redeemed_at));
      CPPUNIT_ASSERT_MESSAGE(c.name, c.expected == check.verdict);
      if (check.verdict == TicketVerdict::kOtherEntry) {
        CPPUNIT_ASSERT_EQUAL(std::string(c.issuer), check.issuer.value());
      }
    }
  }

  // Guards against a second run at any later time: before and after expiry,
  // after the used ticket was forgotten, and after the clock was set back.
  void UsedTicketsNeverRunAgain() {
    SignedTicketBook book = Book();
    const std::string ticket = book.Issue(At(0));
    const std::pair<int, TicketVerdict> steps[] = {
        {0, TicketVerdict::kRun},         {0, TicketVerdict::kAlreadyUsed},
        {4, TicketVerdict::kAlreadyUsed}, {6, TicketVerdict::kAlreadyUsed},
        {60, TicketVerdict::kInvalid},    {1, TicketVerdict::kInvalid},
    };
    for (const auto& [minute, expected] : steps) {
      CPPUNIT_ASSERT(expected == book.Redeem(ticket, At(minute)).verdict);
    }
    CPPUNIT_ASSERT(book.Issue(At(0)) != book.Issue(At(0)));
  }

  // Guards against two threads that both find the ticket unused.
  void OneOfManyThreadsRuns() {
    SignedTicketBook book = Book();
    for (int round = 0; round < 50; ++round) {
      const std::string ticket = book.Issue(At(0));
      std::atomic<int> runs{0};
      std::vector<std::thread> threads;
      threads.reserve(4);
      for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&book, &ticket, &runs] {
          runs += book.Redeem(ticket, At(0)).verdict == TicketVerdict::kRun;
        });
      }
      for (std::thread& thread : threads) {
        thread.join();
      }
      CPPUNIT_ASSERT_EQUAL(1, runs.load());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TicketsTest);

}  // namespace
}  // namespace figflow
