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

/// One control member: the replicated log, the state it builds, and, while it
/// leads, the watchers, the leases and the leader's duties. Owns no socket and
/// no file.
class ControlCore {
public:
  using OnWatch = std::function<void(core::Result<model::WatchReply>)>;
  using OnChange = std::function<void(core::Result<state::ChangeResult>)>;
  using OnDone = std::function<void(core::Status)>;

  ControlCore(ControlOptions options, consensus::NodeOptions node_options,
              ControlHooks hooks, const consensus::DurableState &found);

  void receive(const consensus::Message &message);
  void tick();

  /// The last batch given to Persist is on disk.
  void onPersisted();

  /// Errors given: NotLeader.
  void watch(const model::WatchRequest &request, OnWatch done);

  /// Errors given: NotLeader, and Unavailable where the outcome is not known.
  void propose(const state::Change &change, const OnChange &done);

  /// Puts the member at an address in the place of another, step by step.
  /// Errors given: NotLeader, NotFound, Unavailable.
  void replaceMember(const consensus::MemberReplacement &replacement,
                     OnDone done);

  /// What keeps a wave from its next steps. Errors: NotLeader, NotFound.
  core::Result<std::vector<std::string>>
  waveHoldups(const core::WaveId &wave) const;

  /// A process asks to be a member; the leader keeps it as a learner or voter.
  /// Errors: NotLeader.
  core::Status join(const consensus::Member &member);

  /// Makes job events durable in order; gives false where that is not known.
  void recordJobs(std::vector<jobs::Event> events,
                  std::function<void(bool)> done);

  /// True while no other member can lead.
  bool holdsLease() const;

  /// Hands leadership to another member, before a planned stop.
  void stepDown();

  const state::State &state() const { return State; }
  const consensus::Node &node() const { return Node; }
  bool isLeader() const { return Node.isReady(); }

private:
  struct WaitingWatch {
    model::WatchRequest Request;
    OnWatch Done;
    core::TimeMs Until;
  };

  struct PendingChange {
    uint64_t Term = 0;
    /// What was proposed, so that it need not be decoded again.
    state::Change Change;
    OnChange Done;
  };

  struct Replacement {
    consensus::MemberId Old;
    consensus::Member New;
    OnDone Done;
    core::TimeMs Until;
  };

  void runEffects();
  void apply(const consensus::LogEntry &entry);
  /// The own proposal that this entry carries, if it is one; a proposal that
  /// another entry has replaced is told so.
  std::optional<PendingChange> takePending(const consensus::LogEntry &entry);
  state::ChangeResult applyChange(const state::Change &change);
  void restore(const consensus::Snapshot &snapshot);
  void keepUpdates(std::vector<model::Update> updates);
  void maybeCompact();
  void noteLeadership();
  void loseLeadership();
  void answerWatches(bool all);
  void answerWatch(const WaitingWatch &waiting);
  void runDuties();
  /// Errors: as Node::propose().
  core::Status append(const state::Change &change, OnChange done);
  void proposeOwn(const state::Command &command);
  void keepMembership();
  void continueReplacement();
  void finishReplacement(const core::Status &status);
  bool hasNews(const WaitingWatch &waiting) const;

  const ControlOptions Options;
  const ControlHooks Hooks;
  consensus::Node Node;
  state::State State;
  /// Leave when the batch that is being written is on disk.
  std::vector<consensus::Message> AfterSync;
  uint64_t AppliedIndex = 0;
  uint64_t CompactedIndex = 0;
  std::deque<model::Update> Updates;
  /// Watchers at this revision or later get deltas.
  uint64_t DeltasFrom = 0;

  bool Leading = false;
  core::TimeMs LeadingSince;
  core::TimeMs DutiesDue;
  core::TimeMs ExpiryDue;
  SessionTable Live;
  std::list<WaitingWatch> Watches;
  std::map<uint64_t, PendingChange> Pending;
  /// Own changes that are not applied yet; duties wait for them.
  int64_t OwnPending = 0;
  std::vector<model::Portion> Returns;
  std::optional<Replacement> Replacing;
  struct Joining {
    core::Address Inner;
    core::TimeMs Asked;
  };
  std::map<consensus::MemberId, Joining> Joiners;
  bool HandingOver = false;
};

} // namespace almondgate::control

#endif
