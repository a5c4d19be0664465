#include "Soak/callers.h"

#include <algorithm>
#include <utility>

#include "Http/http_status.h"
#include "Soak/wire_format.h"
#include "absl/strings/str_cat.h"
#include "wire_json.h"

namespace figflow::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPatience{3'000};
// The answer may take a moment more.
constexpr milliseconds kPatienceMargin{500};
constexpr int kConnectionsPerDaemon = 16;
constexpr std::chrono::seconds kKeepOpen{600};
// After this, a daemon in touch knows an accepted job and its end (platform
// contract).
constexpr milliseconds kVisible{3'000};
// Calls that break earlier than this after their sending may have met a closing
// connection, and faults count this long (platform contract).
constexpr milliseconds kLossSlack{200};
constexpr milliseconds kStableWindow{3'000};
// Share of the jobs that go to the queue of the peak.
constexpr double kPeakShare = 0.8;
// Added to each stage of these jobs.
constexpr int kMorePeakTasks = 16;

}  // namespace

Callers::Callers(RealTime& loop,
                 model::VirtualTime& time,
                 model::Promises& promises,
                 const Disturbance& disturbance,
                 CallerOptions options,
                 uint64_t seed,
                 Report report)
    : loop_(loop),
      time_(time),
      promises_(promises),
      disturbance_(disturbance),
      options_(std::move(options)),
      report_(std::move(report)),
      random_(seed) {
  HttpClientOptions client;
  client.threads = 1;
  client.connections_per_address = kConnectionsPerDaemon;
  client.idle_timeout = kKeepOpen;
  client_ = std::make_unique<HttpClient>(client, metrics_);
}

Callers::~Callers() = default;

int Callers::Random(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random_);
}

JobSpec Callers::MakeJob() {
  JobSpec spec;
  spec.id = absl::StrCat(absl::Hex(random_(), absl::kZeroPad16));
  spec.queue = absl::StrCat("q", Random(0, options_.queues - 1));
  spec.payload = "payload of " + spec.id;
  const int kind = Random(0, 9);
  const bool gang = kind == 0;
  const bool perpetual = kind == 1;
  const int stages = gang || perpetual ? 1 : Random(1, 3);
  for (int i = 0; i < stages; ++i) {
    StageSpec stage;
    stage.count = gang ? Random(2, 3) : Random(1, 4);
    stage.per_task = {Random(1, 3) * int64_t{500}, 100, 0};
    stage.estimate = milliseconds(500);
    stage.gang = gang;
    stage.perpetual = perpetual;
    stage.max_per_worker = Chance(0.2) ? 2 : 0;
    if (i > 0) {
      stage.after = {i - 1};
    }
    spec.stages.push_back(std::move(stage));
  }
  if (options_.peak > milliseconds(0) && Chance(kPeakShare)) {
    JoinPeak(&spec);
  }
  return spec;
}

void Callers::JoinPeak(JobSpec* spec) const {
  const auto turn = (time_.Now() - begun_) / options_.peak;
  spec->queue = absl::StrCat("q", turn % options_.queues);
  for (StageSpec& stage : spec->stages) {
    if (!stage.gang && !stage.perpetual) {
      stage.count += kMorePeakTasks;
    }
  }
}

void Callers::Start() {
  time_.After(options_.interval, [this] { SubmitNext(); });
}

void Callers::SubmitNext() {
  if (!submitting_) {
    return;
  }
  const JobSpec spec = MakeJob();
  Entry& entry = entries_[spec.id];
  entry.job = std::make_shared<Job>();
  entry.job->spec = spec;
  entry.gives_up = Chance(0.5);
  ++counts_.submitted;
  promises_.OnSubmitted(spec);
  Submit(spec.id);
  time_.After(
      milliseconds(Random(1, static_cast<int>(2 * options_.interval.count()))),
      [this] { SubmitNext(); });
}

void Callers::Submit(const std::string& id) {
  const Entry& entry = entries_.at(id);
  Call("POST", entry, FormatJob(entry.job->spec),
       [this, id](const Reply& reply) { OnSubmitted(id, reply); });
}

void Callers::OnSubmitted(const std::string& id, const Reply& reply) {
  Entry& entry = entries_.at(id);
  if (reply.status == http_status::kOk) {
    if (entry.accepted) {
      return;
    }
    entry.accepted = true;
    entry.accepted_at = time_.Now();
    ++counts_.accepted;
    promises_.OnAccepted(id, entry.accepted_at);
    Poll(id);
    if (entry.job->spec.perpetual() || Chance(0.15)) {
      const int most = entry.job->spec.perpetual() ? 6'000 : 2'000;
      time_.After(milliseconds(Random(0, most)), [this, id] { Cancel(id); });
    }
    if (Chance(0.1)) {
      time_.After(milliseconds(Random(500, 5'000)), [this, id] { Submit(id); });
    }
    return;
  }
  if (entry.accepted) {
    return;
  }
  const bool refused = reply.status == 503 || reply.status == 429;
  if (!refused && (reply.sent || reply.status != 0)) {
    entry.unknown = true;
  }
  if (reply.status == http_status::kBadRequest ||
      reply.status == http_status::kGone) {
    report_(absl::StrCat("job ", id, " is answered ", reply.status));
  }
  if (refused && entry.gives_up && !entry.unknown) {
    entry.refused = true;
    ++counts_.refused;
    promises_.OnRefused(id);
    return;
  }
  time_.After(milliseconds(Random(100, 500)), [this, id] { Submit(id); });
}

void Callers::Poll(const std::string& id) {
  const MonoTime sent_at = time_.Now();
  Call("GET", entries_.at(id), "", [this, id, sent_at](const Reply& reply) {
    Entry& entry = entries_.at(id);
    const MonoTime now = time_.Now();
    if (reply.status == http_status::kOk) {
      const auto body = wire::ReadOrNull(reply.body);
      const std::string state =
          body.is_object() ? wire::Optional<std::string>(body, "State") : "";
      const bool over =
          state == "completed" || state == "failed" || state == "cancelled";
      // An owner that is cut off shows the state that it knows until its lease
      // ends.
      const bool may_be_old = !over && entry.over &&
                              sent_at < entry.over_at + kVisible &&
                              !disturbance_.CalmSince(sent_at, kStableWindow);
      if (!may_be_old) {
        promises_.OnShown(id, state);
      }
      if (over && !entry.over) {
        entry.over = true;
        entry.over_at = now;
      }
    } else if (reply.status == http_status::kGone &&
               now > entry.accepted_at + kVisible) {
      promises_.OnUnknownJobAnswer(id, now);
    }
    // The end of a job is asked for again: it must not change.
    if (!entry.over || Chance(0.3)) {
      time_.After(milliseconds(Random(150, 600)), [this, id] { Poll(id); });
    }
  });
}

void Callers::Cancel(const std::string& id) {
  promises_.OnCancelAsked(id);
  Call("DELETE", entries_.at(id), "", [this, id](const Reply& reply) {
    if (reply.status == http_status::kOk) {
      ++counts_.cancelled;
      promises_.OnCancelAcknowledged(id, time_.Now());
    } else if (reply.status != http_status::kGone) {
      time_.After(milliseconds(300), [this, id] { Cancel(id); });
    }
  });
}

void Callers::Call(const std::string& method,
                   const Entry& entry,
                   const std::string& body,
                   ReplyCallback done) {
  const JobSpec& spec = entry.job->spec;
  auto message = std::make_shared<HttpRequest>();
  message->method = method;
  message->target = absl::StrCat("/", spec.queue, "/", spec.id);
  message->headers = {{"Deadline-Ms", absl::StrCat(kPatience.count())}};
  if (!body.empty()) {
    message->headers.emplace_back("Content-Type", "application/json");
    message->body = body;
  }
  TransferRequest request;
  request.address = options_.addresses[static_cast<size_t>(
      Random(0, static_cast<int>(options_.addresses.size()) - 1))];
  request.message = std::move(message);
  request.deadline = clock_.Now() + kPatience + kPatienceMargin;
  ++counts_.calls;
  const MonoTime sent_at = time_.Now();
  const std::string what =
      absl::StrCat(method, " ", spec.id, " at ", request.address);
  client_->Start(std::move(request), [this, done = std::move(done), sent_at,
                                      what](TransferResult result) {
    loop_.Post([this, done, sent_at, what, result = std::move(result)] {
      Reply reply;
      reply.sent = result.sent;
      if (result.response) {
        reply.status = result.response->status;
        reply.body = result.response->body;
      } else if (result.response.error().code == ErrorCode::kDeadlineExceeded) {
        ++counts_.late;
      } else if (result.sent &&
                 result.response.error().code == ErrorCode::kUnknownOutcome) {
        ++counts_.cut;
        const auto after =
            std::chrono::duration_cast<milliseconds>(time_.Now() - sent_at);
        if (after > kLossSlack &&
            disturbance_.CalmSince(sent_at, kStableWindow)) {
          report_(absl::StrCat(what, " is cut after ", after.count(),
                               " ms: ", result.response.error().message));
        }
      }
      done(reply);
    });
  });
}

int Callers::Undecided() const {
  return static_cast<int>(
      std::count_if(entries_.begin(), entries_.end(), [](const auto& item) {
        return !item.second.accepted && !item.second.refused;
      }));
}

std::shared_ptr<const Job> Callers::Find(const std::string& id) const {
  const auto entry = entries_.find(id);
  return entry == entries_.end() ? nullptr : entry->second.job;
}

}  // namespace figflow::soak
