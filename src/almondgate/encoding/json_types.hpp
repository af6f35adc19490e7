#ifndef ALMONDGATE_ENCODING_JSON_TYPES_HPP
#define ALMONDGATE_ENCODING_JSON_TYPES_HPP

#include "almondgate/consensus/effects.hpp"
#include "almondgate/consensus/message.hpp"
#include "almondgate/encoding/id_json.hpp"
#include "almondgate/encoding/value_json.hpp"
#include "almondgate/model/cancel_request.hpp"
#include "almondgate/model/grant.hpp"
#include "almondgate/model/grant_request.hpp"
#include "almondgate/model/inventory.hpp"
#include "almondgate/model/record_list.hpp"
#include "almondgate/model/release.hpp"
#include "almondgate/model/watch.hpp"
#include "almondgate/state/state.hpp"

#include <nlohmann/json.hpp>

namespace almondgate::core {

NLOHMANN_JSON_SERIALIZE_ENUM(RunOutcome, {{RunOutcome::NotRun, "not-run"},
                                          {RunOutcome::Unknown, "unknown"},
                                          {RunOutcome::Failed, "failed"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Error, Code, Text, Outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Address, Ip, Port)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Size, Slots, MilliCpus,
                                                MemoryMb, Accelerators)

} // namespace almondgate::core

namespace nlohmann {

/// Converts a map with ids as keys to a JSON object.
template <class Tag, class T>
struct adl_serializer<std::map<almondgate::core::Id<Tag>, T>> {
  using Map = std::map<almondgate::core::Id<Tag>, T>;

  static void to_json(json &j, const Map &map) {
    j = json::object();
    for (const auto &[id, value] : map)
      j[id.str()] = value;
  }
  static void from_json(const json &j, Map &map) {
    map.clear();
    for (const auto &[name, value] : j.items())
      map.emplace(almondgate::core::Id<Tag>(name), value.template get<T>());
  }
};

} // namespace nlohmann

namespace almondgate::model {

NLOHMANN_JSON_SERIALIZE_ENUM(WorkClass, {{WorkClass::Batch, "batch"},
                                         {WorkClass::Urgent, "urgent"}})
NLOHMANN_JSON_SERIALIZE_ENUM(VmPhase, {{VmPhase::Active, "active"},
                                       {VmPhase::Draining, "draining"},
                                       {VmPhase::Released, "released"}})
NLOHMANN_JSON_SERIALIZE_ENUM(WaveKind, {{WaveKind::Drain, "drain"},
                                        {WaveKind::Reboot, "reboot"},
                                        {WaveKind::Replace, "replace"},
                                        {WaveKind::Evacuate, "evacuate"}})
NLOHMANN_JSON_SERIALIZE_ENUM(WaveStatus, {{WaveStatus::Running, "running"},
                                          {WaveStatus::Paused, "paused"},
                                          {WaveStatus::Done, "done"},
                                          {WaveStatus::Cancelled, "cancelled"}})
NLOHMANN_JSON_SERIALIZE_ENUM(StepPhase, {{StepPhase::Waiting, "waiting"},
                                         {StepPhase::Draining, "draining"},
                                         {StepPhase::Released, "released"},
                                         {StepPhase::Done, "done"}})
NLOHMANN_JSON_SERIALIZE_ENUM(DefaultField,
                             {{DefaultField::MaxUnavailablePercent,
                               "MaxUnavailablePercent"},
                              {DefaultField::MaxWaiting, "MaxWaiting"},
                              {DefaultField::MaxWaitMs, "MaxWaitMs"},
                              {DefaultField::MaxRunMs, "MaxRunMs"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Team, Id, Share, Limit,
                                                ShrunkAt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Pool, Id, Spare)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Vm, Id, Pool, Endpoint, Zone,
                                                Rack, BootId, Capacity, Phase,
                                                Leaving, MovedAt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Queue, Id, Pool, Team, Open,
                                                Class, DefaultSize)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Key, Hash, Team, Note)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FleetDefaults,
                                                MaxUnavailablePercent,
                                                MaxWaiting, MaxWaitMs, MaxRunMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PoolException, Pool, Field,
                                                Value, Reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PoolOwner, Pool, Owner, Placer,
                                                Epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Portion, Team, Pool, Amount)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Wave, Id, Kind, Pool, Rack,
                                                Zone, DeadlineWallMs, Status,
                                                ReleasedBoot, Steps)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunningRequest, Id, Team)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Announcement, Vm, Endpoint,
                                                Zone, Rack, BootId, Capacity,
                                                Ready, Leaving, Running)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(GrantRequest, Id, Entry, Pool,
                                                Queue, Team, Class, Need,
                                                WaitMs, Idempotent, Exclude)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Grant, Id, Pool, Vm, Endpoint,
                                                Epoch, WaitedMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Release, Id, Pool, End, RunMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(InventoryRequest, Pool, Epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(InventoryItem, Id, Team, Queue,
                                                Vm, Need, Class)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Inventory, Entry, Pool, Items)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ProcessInfo, Id, Kind, Inner,
                                                Zone)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Demand, Pool, Team, Running,
                                                Waiting)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VmStatus, Vm, Running, Healthy)

} // namespace almondgate::model

namespace almondgate::encoding {

/// The serialized names of a variant's alternatives, in their order.
template <class Variant> struct Kinds;

template <> struct Kinds<model::Record> {
  static constexpr const char *Names[] = {
      "team",     "pool",      "vm",    "queue",   "key",
      "defaults", "exception", "owner", "portion", "wave"};
};

template <> struct Kinds<state::Command> {
  static constexpr const auto &Names = state::CommandKinds;
};

template <class Variant> nlohmann::json variantToJson(const Variant &v) {
  return {
      {"Kind", Kinds<Variant>::Names[v.index()]},
      {"Body", std::visit([](const auto &t) { return nlohmann::json(t); }, v)}};
}

/// Throws nlohmann::json::other_error for an unknown kind.
template <class Variant, size_t N = 0>
Variant variantFromJson(const nlohmann::json &j, const std::string &kind) {
  if constexpr (N == std::variant_size_v<Variant>) {
    throw nlohmann::json::other_error::create(
        501, "unknown Kind '" + kind + "'", nullptr);
  } else {
    if (kind != Kinds<Variant>::Names[N])
      return variantFromJson<Variant, N + 1>(j, kind);
    return Variant(std::in_place_index<N>,
                   j.at("Body").get<std::variant_alternative_t<N, Variant>>());
  }
}

} // namespace almondgate::encoding

namespace nlohmann {

template <> struct adl_serializer<almondgate::model::Record> {
  static void to_json(json &j, const almondgate::model::Record &r) {
    j = almondgate::encoding::variantToJson(r);
  }
  static void from_json(const json &j, almondgate::model::Record &r) {
    r = almondgate::encoding::variantFromJson<almondgate::model::Record>(
        j, j.at("Kind").get<std::string>());
  }
};

} // namespace nlohmann

#include "jobs_json.hpp"

namespace almondgate::model {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CancelRequest, Id, Key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RecordList, Revision, Items)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Update, Revision, Removed,
                                                Content)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WatchRequest, From, Revision,
                                                Stopping, Demands, Vms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WatchReply, Snapshot, Revision,
                                                Updates, ConfirmedAgeMs,
                                                Processes, Returns)

inline void to_json(nlohmann::json &j, const View &view) {
  j = {{"Revision", view.Revision}, {"Updates", snapshotOf(view)}};
}

inline void from_json(const nlohmann::json &j, View &view) {
  view = withUpdates(View{}, j.at("Updates").get<std::vector<Update>>());
  view.Revision = j.at("Revision").get<uint64_t>();
}

} // namespace almondgate::model

namespace almondgate::state {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PutRecords, Records)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RemoveRecord, Content)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(GrantKey, Granted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WithdrawKey, Hash)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RegisterVm, Facts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MoveVm, Vm, From, To)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SetVmPhase, Vm, Phase)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CreateWave, Created)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SetWaveStatus, Wave, Status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AdvanceWave, Wave, Vm, From, To)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AssignPool, Pool, Owner, Placer,
                                                ExpectedEpoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SetPortion, Team, Pool, From,
                                                To)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BeginIntent, Team, Key, Digest,
                                                Request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FinishIntent, Team, Key,
                                                Request, Status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ExpireIntents, BeforeWallMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CompleteVmMove, Vm, MovedAt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RecordJobs, Events)

} // namespace almondgate::state

namespace nlohmann {

template <> struct adl_serializer<almondgate::state::Command> {
  static void to_json(json &j, const almondgate::state::Command &c) {
    j = almondgate::encoding::variantToJson(c);
  }
  static void from_json(const json &j, almondgate::state::Command &c) {
    c = almondgate::encoding::variantFromJson<almondgate::state::Command>(
        j, j.at("Kind").get<std::string>());
  }
};

} // namespace nlohmann

namespace almondgate::state {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Change, Operator, Number,
                                                ExpectedRevision, Reason,
                                                AtWallMs, What)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ChangeResult, Accepted,
                                                Revision, Refusal)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AuditEntry, Revision, Operator,
                                                Number, AtWallMs, Kind, Reason,
                                                Accepted, Refusal)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Intent, Digest, Request,
                                                AtWallMs, Status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RecordedChange, Digest, Result)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(State, View, OperatorRevision,
                                                Intents, Changes, ChangeOrder,
                                                Audit, Jobs)

} // namespace almondgate::state

namespace almondgate::consensus {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Member, Id, Inner, Voter)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Membership, Members)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MemberReplacement, Old, Inner)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LogEntry, Term, Index, Kind,
                                                Data)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Vote, Term, For)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Snapshot, Index, Term, Voters,
                                                Data)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Message, Kind, From, To, Inner,
                                                Term, LogIndex, LogTerm, Commit,
                                                Entries, Granted, Sent, Image)

inline void to_json(nlohmann::json &j, const DurableBatch &batch) {
  j = nlohmann::json::object();
  if (batch.Voted)
    j["Voted"] = *batch.Voted;
  if (batch.Base)
    j["Base"] = *batch.Base;
  if (batch.Commit > 0)
    j["Commit"] = batch.Commit;
  if (batch.ReplaceFrom) {
    j["ReplaceFrom"] = *batch.ReplaceFrom;
    j["Entries"] = batch.Entries;
  }
}

inline void from_json(const nlohmann::json &j, DurableBatch &batch) {
  batch = {};
  if (j.contains("Voted"))
    batch.Voted = j.at("Voted").get<Vote>();
  if (j.contains("Base"))
    batch.Base = j.at("Base").get<Snapshot>();
  batch.Commit = j.value("Commit", uint64_t{0});
  if (!j.contains("ReplaceFrom"))
    return;
  batch.ReplaceFrom = j.at("ReplaceFrom").get<uint64_t>();
  batch.Entries = j.at("Entries").get<std::vector<LogEntry>>();
}

} // namespace almondgate::consensus

#endif
