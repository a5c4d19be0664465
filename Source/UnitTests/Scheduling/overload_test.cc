// Replays a queue's peak in virtual time and compares the dispatch sequence
// with first come, first served, which an earlier version used.
#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/dispatch_order.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;

const MonoTime kStart = MonoTime(std::chrono::hours(1));
constexpr int kSlots = 60;
constexpr milliseconds kStep{10};

struct ReplayCounts {
  int jobs = 0;
  int in_time = 0;
  int useful = 0;
};

// Jobs of one stage of six tasks of 0.4 to 0.6 s. The mean load fills a third
// of the slots; for four seconds of every sixteen five times as many jobs
// arrive.
ReplayCounts ReplayPeaks(
    const std::function<DispatchRank(const Job&, const Occurrence&, MonoTime)>&
        rank_of) {
  struct ReplayedJob {
    std::shared_ptr<Job> job;
    int tasks_left = 6;
    int running = 0;
  };
  std::vector<ReplayedJob> waiting;
  // Finish times of running tasks, with the job.
  using End = std::pair<MonoTime, size_t>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::vector<ReplayedJob> jobs;
  std::vector<int> open_tasks;
  ReplayCounts result;
  int busy = 0;
  double due = 0;
  for (MonoTime now = kStart; now < kStart + std::chrono::seconds(60);
       now += kStep) {
    while (!ends.empty() && ends.top().first <= now) {
      const size_t index = ends.top().second;
      ends.pop();
      --busy;
      if (--open_tasks[index] == 0) {
        const auto taken = now - jobs[index].job->arrived;
        // The objective is 600 ms and 1.6 times the slowest task; a result is
        // useful until three times that.
        result.in_time += taken <= milliseconds(1'560) ? 1 : 0;
        result.useful += taken <= milliseconds(4'680) ? 1 : 0;
      }
    }
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(now - kStart).count();
    const bool peak = second % 16 < 4;
    due += 0.01 * (peak ? 33.0 : 2.0);
    while (due >= 1 && second < 50) {
      due -= 1;
      ReplayedJob entry;
      entry.job = std::make_shared<Job>();
      JobSpec spec;
      spec.id = absl::StrCat("j", jobs.size());
      StageSpec stage;
      stage.count = 6;
      stage.estimate = milliseconds(500);
      spec.stages = {stage};
      entry.job->SetSpec(spec);
      entry.job->arrived = now;
      entry.job->OpenOccurrence(0, now);
      jobs.push_back(entry);
      open_tasks.push_back(6);
      ++result.jobs;
    }
    std::vector<size_t> order;
    for (size_t i = 0; i < jobs.size(); ++i) {
      if (jobs[i].tasks_left > 0) {
        order.push_back(i);
      }
    }
    std::vector<DispatchRank> ranks;
    ranks.reserve(order.size());
    for (const size_t index : order) {
      ranks.push_back(
          rank_of(*jobs[index].job, jobs[index].job->occurrences.at(0), now));
    }
    for (const size_t place : DispatchSequence(ranks)) {
      const size_t index = order[place];
      ReplayedJob& entry = jobs[index];
      while (busy < kSlots && entry.tasks_left > 0) {
        --entry.tasks_left;
        --entry.job->occurrences.at(0).stages[0].waiting;
        ++busy;
        ends.emplace(now + milliseconds(400 + 40 * entry.tasks_left), index);
      }
    }
  }
  return result;
}

class OverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(MoreJobsAreInTimeAtPeak);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MoreJobsAreInTimeAtPeak() {
    QueueConfig queue;
    queue.stretch = 1.6;
    queue.objective = milliseconds(600);
    const DurationModel durations;
    const ReplayCounts by_urgency = ReplayPeaks(
        [&](const Job& job, const Occurrence& occurrence, MonoTime now) {
          return ComputeDispatchRank(job, occurrence, &queue, durations, now);
        });
    const ReplayCounts by_arrival =
        ReplayPeaks([](const Job& job, const Occurrence&, MonoTime) {
          DispatchRank rank;
          rank.key = job.arrived;
          return rank;
        });
    CPPUNIT_ASSERT_EQUAL(by_arrival.jobs, by_urgency.jobs);
    // Stated target: at least half as many again are in time, and no fewer are
    // useful.
    CPPUNIT_ASSERT(by_urgency.in_time * 2 >= by_arrival.in_time * 3);
    CPPUNIT_ASSERT(by_urgency.useful >= by_arrival.useful);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

}  // namespace
}  // namespace figflow
