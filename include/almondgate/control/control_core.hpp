#ifndef ALMONDGATE_CONTROL_CONTROL_CORE_HPP
#define ALMONDGATE_CONTROL_CONTROL_CORE_HPP

#include "almondgate/consensus/node.hpp"
#include "almondgate/control/control_hooks.hpp"
#include "almondgate/control/control_options.hpp"
#include "almondgate/control/session_table.hpp"
#include "almondgate/state/state.hpp"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace almondgate::control {

/// One control member: its consensus node and the replicated state. While it is
/// the leader it also serves watches, tracks leases, and plans pool owners,
/// waves, portions and the membership. Owns no socket and no file.
class ControlCore {
public:
  using OnWatch = std::function<void(core::Result<model::WatchReply>)>;
  using OnChange = std::function<void(core::Result<state::ChangeResult>)>;
  using OnDone = std::function<void(core::Status)>;

  ControlCore(ControlOptions options, consensus::NodeOptions node_options,
              ControlHooks hooks, consensus::DurableState recovered);

  void receive(const consensus::Message &message);
  void tick();

  /// Call when the last batch passed to the Persist hook is on disk.
  void onPersisted();

  /// Records the heartbeat in the request. Replies when there are updates, or
  /// after WatchTimeout. `done` receives NotLeader as an error.
  void watch(const model::WatchRequest &request, OnWatch done);

  /// Replicates a change and applies it. `done` receives NotLeader, or
  /// Unavailable if the outcome is unknown, as errors.
  void propose(const state::Change &change, const OnChange &done);

  /// Replaces a member by the one at an address, one membership change at a
  /// time. `done` receives as errors NotLeader, Conflict while another
  /// replacement is in progress, DeadlineExceeded, and those of FetchIdentity.
  void replaceMember(const consensus::MemberReplacement &replacement,
                     OnDone done);

  /// The reasons that block the next steps of a wave. Errors: NotLeader,
  /// NotFound.
  core::Result<std::vector<std::string>>
  waveHoldups(const core::WaveId &wave) const;

  /// Records a process's request to become a member. The leader adds it as a
  /// learner, and as a voter when one is needed. Errors: NotLeader.
  core::Status join(const consensus::Member &member);

  /// Replicates job events in order. `done` receives false if they may not be
  /// durable.
  void recordJobs(std::vector<jobs::Event> events,
                  std::function<void(bool)> done);

  /// True while this member leads and no other member can be elected.
  bool holdsLease() const;

  /// Transfers leadership to another member, before a planned stop.
  void stepDown();

  const state::State &state() const { return State; }
  const consensus::Node &node() const { return Node; }
  bool isLeader() const { return Node.isReady(); }

private:
  struct PendingWatch {
    model::WatchRequest Request;
    OnWatch Done;
    core::TimeMs Deadline;
  };

  struct PendingChange {
    uint64_t Term = 0;
    /// The proposed change, kept so that it is not decoded again on commit.
    state::Change Change;
    OnChange Done;
  };

  struct Replacement {
    consensus::MemberId Old;
    consensus::Member New;
    OnDone Done;
    core::TimeMs Deadline;
  };

  void runEffects();
  void apply(const consensus::LogEntry &entry);
  /// Removes and returns this member's proposal at the entry's index. If the
  /// entry is of another term, it is not the proposed one: the proposer
  /// receives Unavailable, and the result is empty.
  std::optional<PendingChange> takePending(const consensus::LogEntry &entry);
  state::ChangeResult applyChange(const state::Change &change);
  void restore(const consensus::Snapshot &snapshot);
  void retainUpdates(std::vector<model::Update> updates);
  void compactIfDue();
  void updateLeadership();
  void onLeadershipLost();
  /// Replies to watches past their deadline and, if `with_updates`, to those
  /// that have updates to receive.
  void answerWatches(bool with_updates);
  void answerWatch(const PendingWatch &waiting);
  /// Proposes changes to owners, waves, moved VMs and portions, and expires old
  /// request records.
  void runPlanning();
  /// Appends a change to the log. Errors: as Node::propose().
  core::Status append(const state::Change &change, OnChange done);
  /// Proposes a change of the system itself, which has no operator.
  void proposeInternal(const state::Command &command);
  /// Takes the next step towards the configured number of live voters.
  void reconcileMembership();
  void advanceReplacement();
  void finishReplacement(const core::Status &status);
  bool hasPendingUpdates(const PendingWatch &waiting) const;

  const ControlOptions Options;
  const ControlHooks Hooks;
  consensus::Node Node;
  state::State State;
  /// Messages to send once the batch in flight is on disk.
  std::vector<consensus::Message> AfterSync;
  uint64_t AppliedIndex = 0;
  uint64_t CompactedIndex = 0;
  /// The latest updates, oldest first.
  std::deque<model::Update> Updates;
  /// Watchers at this revision or later receive deltas, older ones a snapshot.
  uint64_t DeltaBaseRevision = 0;

  bool Leading = false;
  core::TimeMs LeadingSince;
  core::TimeMs PlanningDue;
  core::TimeMs ExpiryDue;
  SessionTable Sessions;
  std::list<PendingWatch> Watches;
  std::map<uint64_t, PendingChange> Pending;
  /// Internal proposals that are not applied yet; planning waits for them.
  int64_t UnappliedProposals = 0;
  /// Portions whose return is to be requested from the pool owners.
  std::vector<model::Portion> PortionReturns;
  std::optional<Replacement> ActiveReplacement;
  struct JoinRequest {
    core::Address Inner;
    core::TimeMs ReceivedAt;
  };
  std::map<consensus::MemberId, JoinRequest> JoinRequests;
  bool TransferringLeadership = false;
};

} // namespace almondgate::control

#endif
