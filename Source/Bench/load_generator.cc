#include "Bench/load_generator.h"

#include <algorithm>
#include <memory>
#include <thread>

#include <curl/curl.h>

#include "Common/clock.h"
#include "absl/strings/match.h"
#include "absl/strings/string_view.h"

namespace figflow::bench {
namespace {

// One reusable request slot.
struct Slot {
  CURL* easy = nullptr;
  MonoTime due;
  bool not_run = false;
  bool unknown = false;
};

size_t DropBody(char* /*data*/, size_t size, size_t count, void* /*user*/) {
  return size * count;
}

size_t ReadHeader(char* data, size_t size, size_t count, void* user) {
  const absl::string_view line(data, size * count);
  auto* slot = static_cast<Slot*>(user);
  if (absl::StartsWithIgnoreCase(line, "figflow-disposition:")) {
    slot->not_run = absl::StrContains(line, "not-run");
    slot->unknown = !slot->not_run;
  }
  return size * count;
}

// Sends one thread's part of the load.
class Worker {
 public:
  Worker(const LoadPlan& plan, int index, LatencyHistogram& latency)
      : plan_(plan), latency_(latency), multi_(curl_multi_init()) {
    for (const std::string& header : plan.headers) {
      headers_ = curl_slist_append(headers_, header.c_str());
    }
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(plan.max_open));
    interval_ = std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(plan.threads / plan.rate));
    offset_ = interval_ * index / plan.threads;
  }

  ~Worker() {
    for (const std::unique_ptr<Slot>& slot : slots_) {
      curl_multi_remove_handle(multi_, slot->easy);
      curl_easy_cleanup(slot->easy);
    }
    curl_multi_cleanup(multi_);
    curl_slist_free_all(headers_);
  }

  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  LoadResult Run() {
    const MonoTime start = clock_.Now();
    const MonoTime end = start + plan_.duration;
    MonoTime due = start + offset_;
    while (due < end || open_ > 0) {
      const MonoTime now = clock_.Now();
      while (due < end && due <= now && open_ < plan_.max_open) {
        Send(due);
        due += interval_;
      }
      int running = 0;
      curl_multi_perform(multi_, &running);
      Collect();
      Wait(due < end ? due : now + std::chrono::milliseconds(5));
    }
    return result_;
  }

 private:
  Slot* FreeSlot() {
    if (!free_.empty()) {
      Slot* slot = free_.back();
      free_.pop_back();
      return slot;
    }
    slots_.push_back(std::make_unique<Slot>());
    Slot* slot = slots_.back().get();
    slot->easy = curl_easy_init();
    curl_easy_setopt(slot->easy, CURLOPT_URL, plan_.url.c_str());
    curl_easy_setopt(slot->easy, CURLOPT_HTTPHEADER, headers_);
    curl_easy_setopt(slot->easy, CURLOPT_WRITEFUNCTION, DropBody);
    curl_easy_setopt(slot->easy, CURLOPT_HEADERFUNCTION, ReadHeader);
    curl_easy_setopt(slot->easy, CURLOPT_HEADERDATA, slot);
    curl_easy_setopt(slot->easy, CURLOPT_PRIVATE, slot);
    curl_easy_setopt(slot->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(slot->easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(plan_.timeout.count()));
    return slot;
  }

  void Send(MonoTime due) {
    Slot* slot = FreeSlot();
    slot->due = due;
    slot->not_run = false;
    slot->unknown = false;
    curl_multi_add_handle(multi_, slot->easy);
    ++open_;
    ++result_.sent;
  }

  void Collect() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      Slot* slot = nullptr;
      long status = 0;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &slot);
      curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
      const bool answered = message->data.result == CURLE_OK;
      curl_multi_remove_handle(multi_, slot->easy);
      if (slot->not_run) {
        ++result_.not_run;
      } else if (slot->unknown) {
        ++result_.unknown;
      } else if (answered && status == 200) {
        ++result_.completed;
        latency_.Record(clock_.Now() - slot->due);
      } else {
        ++result_.failed;
      }
      free_.push_back(slot);
      --open_;
    }
  }

  // Waits for socket activity, at most until `until`. Below one millisecond it
  // does not wait, since the poll's resolution would delay the next request.
  void Wait(MonoTime until) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - clock_.Now());
    const int wait_ms =
        static_cast<int>(std::clamp<int64_t>(left.count(), 0, 5));
    curl_multi_poll(multi_, nullptr, 0, wait_ms, nullptr);
  }

  const LoadPlan& plan_;
  LatencyHistogram& latency_;
  SystemClock clock_;
  CURLM* multi_;
  curl_slist* headers_ = nullptr;
  std::chrono::nanoseconds interval_{0};
  std::chrono::nanoseconds offset_{0};
  std::vector<std::unique_ptr<Slot>> slots_;
  std::vector<Slot*> free_;
  int open_ = 0;
  LoadResult result_;
};

void Add(LoadResult& total, const LoadResult& part) {
  total.sent += part.sent;
  total.completed += part.completed;
  total.not_run += part.not_run;
  total.unknown += part.unknown;
  total.failed += part.failed;
}

}  // namespace

LoadResult RunLoad(const LoadPlan& plan, LatencyHistogram& latency) {
  SystemClock clock;
  const MonoTime start = clock.Now();
  std::vector<LoadResult> parts(static_cast<size_t>(plan.threads));
  std::vector<std::thread> threads;
  threads.reserve(parts.size());
  for (int i = 0; i < plan.threads; ++i) {
    threads.emplace_back([&plan, &latency, &parts, i] {
      parts[static_cast<size_t>(i)] = Worker(plan, i, latency).Run();
    });
  }
  LoadResult total;
  for (size_t i = 0; i < threads.size(); ++i) {
    threads[i].join();
    Add(total, parts[i]);
  }
  total.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock.Now() - start);
  return total;
}

}  // namespace figflow::bench
