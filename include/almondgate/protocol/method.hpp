#ifndef ALMONDGATE_PROTOCOL_METHOD_HPP
#define ALMONDGATE_PROTOCOL_METHOD_HPP

#include "almondgate/core/result.hpp"

#include <string>

namespace almondgate::protocol {

/// The methods of the inner protocol, which the system's processes use among
/// themselves. Each comment gives the types of request and reply, then caller
/// and callee. See docs/PROTOCOL.md.
enum class Method {
  /// WatchRequest to WatchReply; any process to the control leader.
  Watch,
  /// Change to ChangeResult; any process to the control leader.
  Propose,
  /// Nothing to a list of AuditEntry; entry to the control leader.
  Audit,
  /// Message to nothing; between control members.
  Consensus,
  /// MemberReplacement to nothing; entry to the control leader.
  ReplaceMember,
  /// Nothing to Membership; entry to the control leader.
  ListMembers,
  /// Wave id to the list of what blocks the wave; entry to the control leader.
  WaveHoldups,
  /// Nothing to the member's id; control leader to a joining member.
  Identity,
  /// GrantRequest to Grant; entry to placer.
  Grant,
  /// Release to nothing; entry to placer.
  Release,
  /// Announcement to nothing; entry to placer.
  Report,
  /// InventoryRequest to Inventory; placer to entry.
  Inventory,
  /// Request id to nothing; between entries.
  Cancel,
  /// JobCall to JobReply; entry to the control leader.
  Job,
  /// EndpointHeartbeat to nothing; control member to the leader.
  Heartbeat,
  /// EndpointGone to nothing; control member to the leader.
  Leave,
  /// FleetConfig to nothing; control member to the leader.
  Configure,
  /// Nothing to FleetConfig; control member to the leader.
  ReadConfig,
  /// Nothing to the configuration's source text; control member of an earlier
  /// version to the leader.
  ReadConfigSource,
  /// WaveRecord to nothing; control member to the leader.
  StartWave,
  /// Wave number to whether it is completed; control member to the leader.
  ReadWave,
  /// StartOrder to OrderReply; control leader to an endpoint.
  StartRun,
  /// StopOrder to OrderReply; control leader to an endpoint.
  StopRun,
  /// PaceOrder to OrderReply; control leader to an endpoint.
  PaceRun,
  /// RenewRequest to RunInventory; control leader to an endpoint.
  RenewRuns,
  /// Member to nothing; joining process to any control member.
  Join,
  /// EvacuationChange to nothing; entry or control member to the leader.
  SetEvacuation,
  /// Nothing to EvacuationList; entry or control member to the leader.
  ListEvacuations,
  /// HeartbeatBatch to HeartbeatReply; control member to the leader.
  HeartbeatBatch,
  /// ExplainRequest to Explanation; entry to the leader.
  Explain,
  /// Nothing to ConfigAnswer (config_answer_codec.hpp); control member to the
  /// leader.
  ReadConfigAnswer,
};

/// The method's name in request paths, such as "watch".
const char *methodName(Method method);

/// Parses a name given by methodName(). Errors: NotFound.
core::Result<Method> parseMethod(const std::string &name);

} // namespace almondgate::protocol

#endif
