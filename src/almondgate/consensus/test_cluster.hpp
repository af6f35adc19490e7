#ifndef ALMONDGATE_CONSENSUS_TEST_CLUSTER_HPP
#define ALMONDGATE_CONSENSUS_TEST_CLUSTER_HPP

#include "almondgate/consensus/node.hpp"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondgate::consensus {

/// Faults of the network and the disks of a TestCluster.
struct FaultOptions {
  int DropPercent = 0;
  int DuplicatePercent = 0;
  int64_t MaxDelayMs = 5;
  /// Disks lose writes that they reported as synced. No real disk may do so; it
  /// is used to show that the checks detect violations.
  bool LosesSyncedWrites = false;
};

/// Members in virtual time, with network and disk faults drawn from a seed.
/// Records each violated guarantee of the replicated log in violations().
class TestCluster {
public:
  TestCluster(uint64_t seed, int members, FaultOptions faults,
              NodeOptions options = {});

  void step(int64_t ms = 1);
  void run(int64_t ms) { step(ms); }

  void crash(const MemberId &id);
  void restart(const MemberId &id);
  /// Pauses a member for `ms` milliseconds.
  void pause(const MemberId &id, int64_t ms);
  /// Drops messages from `a` to `b`; the other direction still works.
  void blockLink(const MemberId &a, const MemberId &b);
  void unblockLinks() { BlockedLinks.clear(); }
  void setFaults(FaultOptions faults) { Faults = faults; }

  /// Proposes on the current leader. Returns false if there is none.
  bool propose(const std::string &data);
  /// Adds a member with an empty disk, which is not in the membership yet.
  MemberId addJoiner();

  Node *leader();
  Node &node(const MemberId &id) { return *Members.at(id).Running; }
  bool isUp(const MemberId &id) const {
    return Members.at(id).Running != nullptr;
  }
  std::vector<MemberId> ids() const;
  int64_t random(int64_t limit);
  int64_t now() const { return NowMs; }
  /// The entries that a member has applied, in order.
  const std::vector<LogEntry> &applied(const MemberId &id) const {
    return Members.at(id).Applied;
  }
  const std::map<uint64_t, std::string> &acknowledged() const {
    return Acknowledged;
  }
  const std::vector<std::string> &violations() const { return Violations; }

private:
  struct TestMember {
    /// The content of the disk.
    DurableState Synced;
    std::unique_ptr<Node> Running;
    std::vector<LogEntry> Applied;
    std::optional<DurableBatch> Writing;
    std::vector<Message> AfterSync;
    int64_t WriteDoneAt = 0;
    int64_t PausedUntil = 0;
  };

  void start(const MemberId &id);
  void runEffects(const MemberId &id);
  void finishWrite(const MemberId &id);
  void send(const Message &message);
  void deliver();
  void applyEntry(const MemberId &id, const LogEntry &entry);
  void check();
  void recordViolation(const std::string &what);
  bool isBlocked(const MemberId &a, const MemberId &b) const;

  NodeOptions Options;
  FaultOptions Faults;
  std::mt19937_64 Generator;
  int64_t NowMs = 0;
  std::map<MemberId, TestMember> Members;
  std::multimap<int64_t, Message> Network;
  std::set<std::pair<MemberId, MemberId>> BlockedLinks;
  std::map<uint64_t, MemberId> LeaderOfTerm;
  std::map<uint64_t, LogEntry> CommittedEntries;
  std::map<uint64_t, std::string> Acknowledged;
  std::vector<std::string> Violations;
  int JoinerCount = 0;
};

} // namespace almondgate::consensus

#endif
