#ifndef ALMONDGATE_SRC_ENCODING_JOBS_JSON_HPP
#define ALMONDGATE_SRC_ENCODING_JOBS_JSON_HPP

#include "almondgate/jobs/config_answer.hpp"
#include "almondgate/jobs/endpoint_heartbeat.hpp"
#include "almondgate/jobs/evacuation_change.hpp"
#include "almondgate/jobs/evacuation_list.hpp"
#include "almondgate/jobs/explain_request.hpp"
#include "almondgate/jobs/explanation.hpp"
#include "almondgate/jobs/heartbeat_batch.hpp"
#include "almondgate/jobs/job_call.hpp"
#include "almondgate/jobs/job_reply.hpp"
#include "almondgate/jobs/ledger.hpp"

#include <nlohmann/json.hpp>

namespace almondgate::jobs {

NLOHMANN_JSON_SERIALIZE_ENUM(JobState, {{JobState::Queued, "queued"},
                                        {JobState::Running, "running"},
                                        {JobState::Completed, "completed"},
                                        {JobState::Failed, "failed"},
                                        {JobState::Cancelled, "cancelled"}})

// A job may have thousands of tasks, so each is written compactly: as an array
// without member names, which is empty for a task in its initial state.
inline void to_json(nlohmann::json &j, const TaskProgress &task) {
  j = nlohmann::json::array();
  if (task != TaskProgress())
    j = {task.Done, task.Failures, task.LastFailedRun};
}

inline void from_json(const nlohmann::json &j, TaskProgress &task) {
  task = {};
  if (j.empty())
    return;
  task.Done = j.at(0).get<bool>();
  task.Failures = j.at(1).get<int64_t>();
  task.LastFailedRun = j.at(2).get<int64_t>();
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    StepSpec, Count, Need, EstimateMs, After, Checkpointing, Gang, SameRack,
    Label, Affinity, AntiAffinity, AllowDuplicates, LongRunning, Image,
    TargetMs, Fills, MayMiss, HasMayMiss)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSpec, Content, Steps,
                                                Repetitions, StartAtMs,
                                                IntervalMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(QueueSpec, Id, Host, PathPrefix,
                                                Pool, Priority, MaxAttempts,
                                                Stretch, TargetMs, Open,
                                                NeedsTicket, TicketLifeMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PoolSpec, Id, GuardsCapacity,
                                                Spare)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TeamSpec, Id, Keys, Weight,
                                                Limit)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FleetConfig, Version, Queues,
                                                Pools, Teams, Source)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigAnswer, Version, Source,
                                                Leader, Term)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndpointFacts, Id, BornMs, Vm,
                                                Pool, At, Zone, Rack, Labels,
                                                Capacity, Draining, Idle)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndpointIncarnation, Id, BornMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WaveRecord, Number, Vms,
                                                UpperLimit, DurationMs,
                                                StartedWallMs, Begun, Finished)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobTerms, Pool, PoolReplaced,
                                                MaxAttempts, Stretch, TargetMs,
                                                NeedsTicket, TicketLifeMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobRecord, Id, Queue, Team,
                                                Spec, AcceptedWallMs, Epoch,
                                                Call, Terms, Cancelled, Failed,
                                                EndedWallMs, Tasks,
                                                UnansweredStarts, Remaining)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobAccepted, Id, Queue, Team,
                                                Spec, WallMs, Epoch, Call,
                                                Terms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobCancelled, Id, WallMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TaskEnded, Job, Task, Run, Done,
                                                WallMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigRevision, Base, Version,
                                                QueuesPut, QueuesGone, Pools,
                                                Teams, Source)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigRevised, Revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigReplaced, Config)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndpointRegistered, Facts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndpointGone, Id, BornMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndpointIdled, Id, BornMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EpochBegun, Leader)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WaveStarted, Wave)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MaintenanceBegun, Wave, Vm,
                                                Ends)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MaintenanceFinished, Wave, Vm)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobsExpired, EndedBeforeWallMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VmOrdered, Vm, To)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VmOrdersLapsed, Vms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartUnanswered, Job, Task,
                                                Endpoint, Over)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ZoneEvacuated, Zone, By, Reason,
                                                WallMs, Base)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EvacuationWithdrawn, Zone, By,
                                                Reason, WallMs, Base)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EvacuationRecord, By, Reason,
                                                SinceWallMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EvacuationBasis, Revision,
                                                Epoch, Confirmations)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EvacuationChange, Zone,
                                                Evacuate, By, Reason, Basis)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EvacuatedEndpoint, Id, Zone,
                                                ShortRuns, LongRuns)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EvacuationList, Basis, Zones,
                                                Remaining)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ExplainRequest, Job, Queue,
                                                Team, Spec)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StepExplanation, Step, Starts,
                                                Remote, Waiting, WaitReason,
                                                PassedOver)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Explanation, Pool, Accepted,
                                                RetryAfterMs, Reason, Steps)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobCall, Verb, Host, Path, Key,
                                                Call, Spec, SpecError)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobReply, Outcome, State,
                                                Pending, RetryAfterMs, Text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndpointHeartbeat, Facts,
                                                Sequence, ColdRemainingMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HeartbeatBatch, Heartbeats)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HeartbeatResult, Accepted,
                                                Error)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HeartbeatReply, Results,
                                                Members)

} // namespace almondgate::jobs

namespace almondgate::encoding {

template <> struct Kinds<jobs::Event> {
  static constexpr const auto &Names = jobs::EventKinds;
};

} // namespace almondgate::encoding

namespace nlohmann {

template <> struct adl_serializer<almondgate::jobs::Event> {
  static void to_json(json &j, const almondgate::jobs::Event &e) {
    j = almondgate::encoding::variantToJson(e);
  }
  static void from_json(const json &j, almondgate::jobs::Event &e) {
    e = almondgate::encoding::variantFromJson<almondgate::jobs::Event>(
        j, j.at("Kind").get<std::string>());
  }
};

} // namespace nlohmann

namespace almondgate::jobs {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Ledger, Epoch, Config, Jobs,
                                                Endpoints, Gone, Waves,
                                                VmsOrdered, MoveTargets,
                                                Evacuations, EvacuationRevision)

} // namespace almondgate::jobs

#endif
