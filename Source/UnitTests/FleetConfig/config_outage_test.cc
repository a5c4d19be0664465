// Accepted configurations through series of outages and restores of the store
// and restarts of daemons, in a random order.
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "FleetConfig/config_fixture.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using test::Daemon;
using test::FaultyStore;
using test::Sheet;

constexpr milliseconds kAtOnce{0};
constexpr size_t kDaemons = 3;
constexpr int kSeeds = 200;
constexpr int kSteps = 60;
// Rounds of gossip and following within which all daemons must agree again.
constexpr int kSettleRounds = 4;

// Daemons that follow one store and gossip.
class Fleet {
 public:
  explicit Fleet(int seed) : random_(seed) {
    for (auto& daemon : daemons_) {
      daemon = std::make_unique<Daemon>(store_, Options());
    }
    snapshots_.push_back(store_.Snapshot());
  }

  void RandomStep() {
    constexpr unsigned kinds = 8;
    switch (random_() % kinds) {
      case 0:
        down_ = !down_;
        store_.SetDown(down_);
        return;
      case 1:
        snapshots_.push_back(store_.Snapshot());
        return;
      case 2:
        // An operator restores while the store is out of service.
        if (down_) {
          store_.Restore(snapshots_[random_() % snapshots_.size()]);
        }
        return;
      case 3:
        Restart(random_() % kDaemons);
        return;
      case 4:
        (void)daemons_[random_() % kDaemons]->config.SyncOnce(kAtOnce);
        return;
      case 5:
        Gossip();
        return;
      default:
        Apply(*daemons_[random_() % kDaemons]);
    }
  }

  void Settle() {
    down_ = false;
    store_.SetDown(false);
    for (int round = 0; round < kSettleRounds; ++round) {
      Gossip();
      for (const auto& daemon : daemons_) {
        (void)daemon->config.SyncOnce(kAtOnce);
      }
    }
  }

  // Daemons whose status shows another revision than the accepted one, for
  // themselves or a peer, or whose configuration differs.
  std::string Deviations() {
    std::string text;
    // As many as the revision says; none before the first one.
    const int instances = accepted_ == 0 ? -1 : static_cast<int>(accepted_);
    for (size_t i = 0; i < kDaemons; ++i) {
      if (daemons_[i]->revision() != accepted_) {
        absl::StrAppend(&text, i, " has revision ", daemons_[i]->revision(),
                        " instead of ", accepted_, "; ");
      }
      for (const auto& [entry, peer] : daemons_[i]->peers.peers) {
        if (peer.digest.config_revision != accepted_) {
          absl::StrAppend(&text, i, " shows ", peer.digest.config_revision,
                          " for ", entry.value(), "; ");
        }
      }
      if (daemons_[i]->Instances("a") != instances) {
        absl::StrAppend(&text, i, " has ", daemons_[i]->Instances("a"),
                        " instances instead of ", instances, "; ");
      }
    }
    if (accepted_ > 0 && store_.HeadRevision() != accepted_) {
      absl::StrAppend(&text, "the store holds ", store_.HeadRevision());
    }
    return text;
  }

  uint64_t accepted() const { return accepted_; }

 private:
  static ConfigStoreOptions Options() {
    ConfigStoreOptions options;
    options.check_interval = kAtOnce;
    options.bootstrap.wait = kAtOnce;
    return options;
  }

  void Gossip() {
    for (size_t to = 0; to < kDaemons; ++to) {
      for (size_t from = 0; from < kDaemons; ++from) {
        if (to != from) {
          Tell(*daemons_[from], from, *daemons_[to]);
        }
      }
    }
  }

  static void Tell(const Daemon& from, size_t number, Daemon& to) {
    to.peers.Add(absl::StrCat("entry-", number).c_str(), from.revision());
    if (from.revision() > to.revision()) {
      (void)to.config.OnDelta(from.config.Pull(to.config.PullRevision()));
    }
    to.peers.Add(absl::StrCat("entry-", number).c_str(), from.revision());
  }

  void Apply(Daemon& daemon) {
    const uint64_t next = daemon.revision() + 1;
    if (daemon.Apply(Sheet(next - 1, {{"a", static_cast<int>(next)}}),
                     absl::StrCat("id", ++applies_).c_str()) ==
        absl::StrCat("ok:", next)) {
      accepted_ = std::max(accepted_, next);
      // The push of an accepted configuration.
      Gossip();
    }
  }

  // Keeps one daemon that has the accepted configuration: no other copy of it
  // may exist after a restore.
  void Restart(size_t number) {
    size_t others = 0;
    for (size_t i = 0; i < kDaemons; ++i) {
      others += i != number && daemons_[i]->revision() >= accepted_ ? 1 : 0;
    }
    if (others > 0) {
      daemons_[number] = std::make_unique<Daemon>(store_, Options());
      // Peers greet a new daemon with their digest before it serves.
      for (size_t i = 0; i < kDaemons; ++i) {
        if (i != number) {
          daemons_[number]->peers.Add(absl::StrCat("entry-", i).c_str(),
                                      daemons_[i]->revision());
        }
      }
    }
  }

  std::mt19937 random_;
  FaultyStore store_;
  bool down_ = false;
  std::vector<std::map<std::string, VersionedValue>> snapshots_;
  std::unique_ptr<Daemon> daemons_[kDaemons];
  uint64_t accepted_ = 0;
  int applies_ = 0;
};

class ConfigOutageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigOutageTest);
  CPPUNIT_TEST(StatusShowsTheAcceptedRevisionAfterRestores);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an accepted configuration that is no longer in force, or not
  // shown by `figflowctl status`, after an outage that ended with an older copy
  // of the store.
  void StatusShowsTheAcceptedRevisionAfterRestores() {
    uint64_t accepted = 0;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      Fleet fleet(seed);
      for (int step = 0; step < kSteps; ++step) {
        fleet.RandomStep();
      }
      fleet.Settle();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat("seed ", seed), std::string(),
                                   fleet.Deviations());
      accepted += fleet.accepted();
    }
    CPPUNIT_ASSERT(accepted > kSeeds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigOutageTest);

}  // namespace
}  // namespace figflow
