#include "almondgate/storage/store.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/storage/frame.hpp"

#include "folder_names.hpp"

#include <algorithm>
#include <charconv>
#include <set>
#include <tuple>
#include <utility>

namespace almondgate::storage {

using consensus::DurableBatch;
using consensus::DurableState;
using core::Error;
using core::ErrorCode;
using core::Result;
using core::Status;

namespace {

constexpr std::string_view FormatName = "almondgate-data ";
constexpr std::string_view FormatLine = "almondgate-data 1\n";

Status replaceFile(const std::string &folder, const std::string &name,
                   std::string_view data, const FileOps &ops) {
  const std::string temporary = joinPath(folder, name + TemporarySuffix);
  const auto fd = ops.Create(temporary);
  if (!fd)
    return fd.error();
  Status status = ops.Write(fd.value(), 0, data);
  if (status)
    status = ops.Sync(fd.value());
  ops.Close(fd.value());
  if (!status) {
    // Remove the partial file: its space is needed on a full disk.
    (void)ops.Remove(temporary);
    return status;
  }
  status = ops.Rename(temporary, joinPath(folder, name));
  if (status)
    status = ops.SyncFolder(folder);
  return status;
}

// The numbers of the files named `prefix` + number: the base index of each
// generation.
std::set<uint64_t> generations(const std::vector<std::string> &names,
                               const std::string &prefix) {
  std::set<uint64_t> out;
  for (const auto &name : names) {
    if (name.rfind(prefix, 0) != 0)
      continue;
    uint64_t n = 0;
    const char *end = name.data() + name.size();
    const auto [ptr, ec] = std::from_chars(name.data() + prefix.size(), end, n);
    if (ec == std::errc() && ptr == end)
      out.insert(n);
  }
  return out;
}

// The folder that has an entry for `path`.
std::string parentOf(const std::string &path) {
  const size_t end = path.find_last_not_of('/');
  const size_t slash =
      end == std::string::npos ? 0 : path.find_last_of('/', end);
  if (slash == std::string::npos)
    return ".";
  return slash == 0 ? "/" : path.substr(0, slash);
}

// Creates a folder and its missing parents.
Status createFolders(const std::string &folder, const FileOps &ops) {
  auto created = ops.CreateFolder(folder);
  if (!created && created.error().Code == ErrorCode::NotFound) {
    if (auto parent = createFolders(parentOf(folder), ops); !parent)
      return parent;
    created = ops.CreateFolder(folder);
  }
  if (!created)
    return created.error();
  return created.value() ? ops.SyncFolder(parentOf(folder)) : core::ok();
}

// An earlier process may have been killed after it created the folder or its
// parents and before it synced their names. A parent that this process may not
// sync was not created by it.
Status syncParents(std::string folder, const FileOps &ops) {
  while (folder != "/" && folder != ".") {
    folder = parentOf(folder);
    auto synced = ops.SyncFolder(folder);
    if (!synced && synced.error().Code == ErrorCode::Forbidden)
      return core::ok();
    if (!synced)
      return synced;
  }
  return core::ok();
}

// Returns the names in a folder, which is created if it does not exist.
Result<std::vector<std::string>> listOrCreate(const std::string &folder,
                                              const FileOps &ops) {
  auto names = ops.List(folder);
  if (names || names.error().Code != ErrorCode::NotFound)
    return names;
  if (auto created = createFolders(folder, ops); !created)
    return created.error();
  return ops.List(folder);
}

void applyBatch(DurableState &state, const DurableBatch &batch) {
  if (batch.Voted)
    state.Voted = *batch.Voted;
  state.Commit = std::max(state.Commit, batch.Commit);
  if (!batch.ReplaceFrom)
    return;
  auto &entries = state.Entries;
  while (!entries.empty() && entries.back().Index >= *batch.ReplaceFrom)
    entries.pop_back();
  entries.insert(entries.end(), batch.Entries.begin(), batch.Entries.end());
}

Status checkNoGaps(const DurableState &state) {
  uint64_t expected = state.Base.Index + 1;
  for (const auto &entry : state.Entries)
    if (entry.Index != expected++)
      return Error{ErrorCode::Corrupt, "the log has a gap: expected entry " +
                                           std::to_string(expected - 1) +
                                           ", found entry " +
                                           std::to_string(entry.Index)};
  return core::ok();
}

Error withRecoveryHint(const Error &error, const std::string &file) {
  return {error.Code,
          file + ": " + error.Text +
              "; this member must be replaced (docs/OPERATIONS.md, Lost disk)"};
}

// An intact file that this version can't read is not damaged.
Error unknownFormat(const std::string &text) {
  return {ErrorCode::InvalidArgument,
          text + "; it was written by another version of this program"};
}

Result<consensus::MemberId> readIdentity(const std::string &file) {
  if (file.starts_with(FormatLine) && file.size() > FormatLine.size())
    return consensus::MemberId(file.substr(FormatLine.size()));
  const size_t line_end = file.find('\n');
  if (file.starts_with(FormatName) && line_end != std::string::npos &&
      line_end + 1 < file.size() && !file.starts_with(FormatLine))
    return unknownFormat("unknown format '" + file.substr(0, line_end) + "'");
  return Error{ErrorCode::Corrupt, "damaged identity"};
}

} // namespace

Store::Store(std::string folder, FileOps ops)
    : Folder(std::move(folder)), Ops(std::move(ops)) {}

Store::~Store() {
  if (LogFd >= 0)
    Ops.Close(LogFd);
  if (LockFd >= 0)
    Ops.Close(LockFd);
}

std::string Store::path(const std::string &name) const {
  return joinPath(Folder, name);
}

Status Store::format(const std::string &folder, const consensus::MemberId &id,
                     const consensus::Membership &first, const FileOps &ops) {
  const auto names = listOrCreate(folder, ops);
  if (!names)
    return names.error();
  if (contains(names.value(), IdentityName))
    return Error{ErrorCode::Conflict, folder + " already has an identity"};
  if (auto synced = syncParents(folder, ops); !synced)
    return synced;
  DurableBatch empty;
  empty.ReplaceFrom = 1;
  const consensus::Snapshot base{0, 0, first, {}};
  const std::string snapshot = encodeFrame(encoding::encode(base));
  const std::string log = encodeFrame(encoding::encode(empty));
  Status status = replaceFile(folder, SnapshotPrefix + "0", snapshot, ops);
  if (status)
    status = replaceFile(folder, LogPrefix + "0", log, ops);
  // The identity is written last: a folder without one is not formatted.
  if (status)
    status = replaceFile(folder, IdentityName,
                         std::string(FormatLine) + id.str(), ops);
  return status;
}

Result<std::unique_ptr<Store>> Store::open(const std::string &folder,
                                           FileOps ops) {
  std::unique_ptr<Store> store(new Store(folder, std::move(ops)));
  const auto identity = store->Ops.Read(store->path(IdentityName));
  if (!identity && identity.error().Code != ErrorCode::NotFound)
    return identity.error();
  if (!identity)
    return Error{ErrorCode::NotFound,
                 folder + " is not formatted: it has no identity file"};
  const auto id = readIdentity(identity.value());
  if (!id)
    return withRecoveryHint(id.error(), store->path(IdentityName));
  store->Identity = id.value();
  const auto lock = store->Ops.Lock(store->path(LockName));
  if (!lock)
    return lock.error();
  store->LockFd = lock.value();
  if (auto loaded = store->load(); !loaded)
    return loaded.error();
  return store;
}

Status Store::load() {
  const auto names = Ops.List(Folder);
  if (!names)
    return names.error();
  const auto snapshots = generations(names.value(), SnapshotPrefix);
  const auto logs = generations(names.value(), LogPrefix);
  for (auto it = logs.rbegin(); it != logs.rend(); ++it) {
    if (!snapshots.contains(*it))
      continue;
    if (auto loaded = loadGeneration(*it); !loaded)
      return loaded;
    // The last process may have been killed between a rename and the sync of
    // its name. What is read here counts from now on, and the generation before
    // it is removed.
    if (auto synced = Ops.SyncFolder(Folder); !synced)
      return synced;
    removeOtherGenerations(*it);
    return core::ok();
  }
  return Error{ErrorCode::Corrupt,
               Folder + ": no snapshot with a matching log"};
}

Status Store::loadGeneration(uint64_t base) {
  const std::string number = std::to_string(base);
  const std::string snapshot_path = path(SnapshotPrefix + number);
  const std::string log_path = path(LogPrefix + number);
  const auto snapshot_file = Ops.Read(snapshot_path);
  if (!snapshot_file)
    return snapshot_file.error();
  const auto snapshot = decodeFrames(snapshot_file.value());
  if (!snapshot || snapshot.value().Payloads.size() != 1)
    return withRecoveryHint({ErrorCode::Corrupt, "damaged snapshot"},
                            snapshot_path);
  const auto decoded =
      encoding::decode<consensus::Snapshot>(snapshot.value().Payloads.front());
  if (!decoded)
    return unknownFormat(snapshot_path + ": " + decoded.error().Text);
  Recovered.Base = decoded.value();

  const auto log_file = Ops.Read(log_path);
  if (!log_file)
    return log_file.error();
  const auto frames = decodeFrames(log_file.value());
  if (!frames)
    return withRecoveryHint(frames.error(), log_path);
  // The first frame was synced before the file was renamed into place, so it
  // cannot be a torn tail.
  if (frames.value().Payloads.empty())
    return withRecoveryHint({ErrorCode::Corrupt, "damaged record at byte 0"},
                            log_path);
  for (const auto &payload : frames.value().Payloads) {
    const auto batch = encoding::decode<DurableBatch>(payload);
    if (!batch)
      return unknownFormat(log_path + ": " + batch.error().Text);
    applyBatch(Recovered, batch.value());
  }
  if (auto checked = checkNoGaps(Recovered); !checked)
    return withRecoveryHint(checked.error(), log_path);
  LastVote = Recovered.Voted;
  const auto fd = Ops.Open(log_path);
  if (!fd)
    return fd.error();
  LogFd = fd.value();
  Generation = base;
  LogBytes = frames.value().ValidBytes;
  if (auto cut = Ops.Truncate(LogFd, LogBytes); !cut)
    return cut;
  // The last frame may be readable and yet not on the disk: if a sync of it
  // fails, the system forgets that it was to be written. Each earlier frame was
  // synced before the next one was written.
  const std::string last = encodeFrame(frames.value().Payloads.back());
  if (auto written = Ops.Write(LogFd, LogBytes - last.size(), last); !written)
    return written;
  return Ops.Sync(LogFd);
}

void Store::removeOtherGenerations(uint64_t keep) {
  const auto names = Ops.List(Folder);
  if (!names)
    return;
  for (const auto &prefix : {LogPrefix, SnapshotPrefix})
    for (const uint64_t n : generations(names.value(), prefix))
      if (n != keep)
        (void)Ops.Remove(path(prefix + std::to_string(n)));
  for (const auto &name : names.value())
    if (name.ends_with(TemporarySuffix))
      (void)Ops.Remove(path(name));
}

Status Store::startGeneration(const DurableBatch &batch) {
  const std::string number = std::to_string(batch.Base->Index);
  DurableBatch first = batch;
  first.Base.reset();
  first.Voted = LastVote;
  const std::string log = encodeFrame(encoding::encode(first));
  Status status = replaceFile(Folder, SnapshotPrefix + number,
                              encodeFrame(encoding::encode(*batch.Base)), Ops);
  if (status)
    status = replaceFile(Folder, LogPrefix + number, log, Ops);
  if (!status)
    return status;
  const auto fd = Ops.Open(path(LogPrefix + number));
  if (!fd)
    return fd.error();
  Ops.Close(LogFd);
  LogFd = fd.value();
  Generation = batch.Base->Index;
  LogBytes = log.size();
  removeOtherGenerations(batch.Base->Index);
  return core::ok();
}

Status Store::append(const DurableBatch &batch) {
  const std::string frame = encodeFrame(encoding::encode(batch));
  Status status = Ops.Write(LogFd, LogBytes, frame);
  if (status)
    status = Ops.Sync(LogFd);
  if (status) {
    LogBytes += frame.size();
    return status;
  }
  // The file may end with a part of the frame; intact frames must not follow
  // it.
  if (!Ops.Truncate(LogFd, LogBytes))
    return Error{ErrorCode::Io,
                 "cannot truncate the log in " + Folder + " to byte " +
                     std::to_string(LogBytes) +
                     " after a failed write: " + status.error().Text};
  return status;
}

Status Store::write(const DurableBatch &batch) {
  if (Failed)
    return Error{ErrorCode::Io, "an earlier write to " + Folder + " failed"};
  if (batch.Voted)
    LastVote = *batch.Voted;
  Status status = batch.Base ? startGeneration(batch) : append(batch);
  Failed = !status && status.error().Code != ErrorCode::NoSpace;
  return status;
}

Status Store::recover() {
  const auto durable = std::pair(Generation, LogBytes);
  if (LogFd >= 0)
    Ops.Close(std::exchange(LogFd, -1));
  Recovered = {};
  Status status = load();
  Recovered = {};
  if (status && std::pair(Generation, LogBytes) < durable)
    status = Error{ErrorCode::Corrupt,
                   Folder + " has lost records that were durable"};
  if (!status)
    std::tie(Generation, LogBytes) = durable;
  Failed = !status;
  return status;
}

} // namespace almondgate::storage
