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

/// How rough the network and the disks of a TestCluster are.
struct Roughness {
  int DropPercent = 0;
  int DuplicatePercent = 0;
  int64_t MaxDelayMs = 5;
  /// A disk that forgets what it said was synced; no real disk may.
  bool ForgetfulDisk = false;
};

/// Members in virtual time, with a network and disks that fail by a seed.
/// Notes each broken promise of the replicated log in violations().
class TestCluster {
public:
  TestCluster(uint64_t seed, int members, Roughness rough,
              NodeOptions options = {});

  void step(int64_t ms = 1);
  void run(int64_t ms) { step(ms); }

  void crash(const MemberId &id);
  void restart(const MemberId &id);
  void stall(const MemberId &id, int64_t ms);
  void cut(const MemberId &a, const MemberId &b);
  void heal() { Cuts.clear(); }
  void setRoughness(Roughness rough) { Rough = rough; }

  /// Proposes on the member that says it leads; false where there is none.
  bool propose(const std::string &data);
  /// Adds a member with an empty disk, which has no part yet.
  MemberId addJoiner();

  Node *leader();
  Node &node(const MemberId &id) { return *Members.at(id).Live; }
  bool isUp(const MemberId &id) const { return Members.at(id).Live != nullptr; }
  std::vector<MemberId> ids() const;
  int64_t random(int64_t limit);
  int64_t now() const { return NowMs; }
  /// Applied commands of a member, in order.
  const std::vector<LogEntry> &applied(const MemberId &id) const {
    return Members.at(id).Applied;
  }
  const std::map<uint64_t, std::string> &acknowledged() const {
    return Acknowledged;
  }
  const std::vector<std::string> &violations() const { return Broken; }

private:
  struct TestMember {
    /// What is on its disk.
    DurableState Synced;
    std::unique_ptr<Node> Live;
    std::vector<LogEntry> Applied;
    std::optional<DurableBatch> Writing;
    std::vector<Message> AfterSync;
    int64_t WriteDoneAt = 0;
    int64_t StalledUntil = 0;
  };

  void start(const MemberId &id);
  void runEffects(const MemberId &id);
  void finishWrite(const MemberId &id);
  void send(const Message &message);
  void deliver();
  void applyEntry(const MemberId &id, const LogEntry &entry);
  void check();
  void broken(const std::string &what);
  bool isCut(const MemberId &a, const MemberId &b) const;

  NodeOptions Options;
  Roughness Rough;
  std::mt19937_64 Dice;
  int64_t NowMs = 0;
  std::map<MemberId, TestMember> Members;
  std::multimap<int64_t, Message> Net;
  std::set<std::pair<MemberId, MemberId>> Cuts;
  std::map<uint64_t, MemberId> LeaderOfTerm;
  std::map<uint64_t, LogEntry> CommittedAt;
  std::map<uint64_t, std::string> Acknowledged;
  std::vector<std::string> Broken;
  int NextJoiner = 0;
};

} // namespace almondgate::consensus

#endif
