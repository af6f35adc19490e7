#include "almondgate/storage/data_folder.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/storage/frame.hpp"

#include "folder_names.hpp"

namespace almondgate::storage {

using core::ErrorCode;
using core::Result;
using core::Status;

namespace {

using Names = std::vector<std::string>;

bool isState(const std::string &name) {
  return !name.ends_with(TemporarySuffix) &&
         (name.starts_with(LogPrefix) || name.starts_with(SnapshotPrefix));
}

bool isDamaged(const std::string &name) {
  return name.starts_with(DamagedPrefix);
}

Result<Names> listIfExists(const std::string &folder, const FileOps &ops) {
  auto names = ops.List(folder);
  if (!names && names.error().Code == ErrorCode::NotFound)
    return Names();
  return names;
}

// Without an identity, a folder was never used if it has no more than what
// format() leaves when it is interrupted: the first snapshot and a log with one
// record.
Result<bool> hasUsedState(const std::string &folder, const Names &names,
                          const FileOps &ops) {
  const std::string first_log = LogPrefix + "0";
  for (const auto &name : names)
    if (isState(name) && name != first_log && name != SnapshotPrefix + "0")
      return true;
  if (!contains(names, first_log))
    return false;
  const auto log = ops.Read(joinPath(folder, first_log));
  if (!log)
    return log.error();
  const auto frames = decodeFrames(log.value());
  return !frames || frames.value().Payloads.size() != 1 ||
         frames.value().ValidBytes != log.value().size();
}

// The identity goes first: without it no later start takes the other files for
// a member's state.
Status setAside(const std::string &folder, const Names &names,
                const FileOps &ops) {
  const auto rename = [&](const std::string &name) {
    return ops.Rename(joinPath(folder, name),
                      joinPath(folder, DamagedPrefix + name));
  };
  if (contains(names, IdentityName)) {
    for (const auto &name : names)
      if (isDamaged(name))
        (void)ops.Remove(joinPath(folder, name));
    Status status = rename(IdentityName);
    if (status)
      status = ops.SyncFolder(folder);
    if (!status)
      return status;
  }
  for (const auto &name : names)
    if (isState(name))
      if (auto renamed = rename(name); !renamed)
        return renamed;
  return ops.SyncFolder(folder);
}

// format() writes the first snapshot before any other file.
consensus::Membership interruptedMembers(const std::string &folder,
                                         const FileOps &ops) {
  const auto file = ops.Read(joinPath(folder, SnapshotPrefix + "0"));
  if (!file)
    return {};
  const auto frames = decodeFrames(file.value());
  if (!frames || frames.value().Payloads.size() != 1)
    return {};
  const auto snapshot =
      encoding::decode<consensus::Snapshot>(frames.value().Payloads.front());
  return snapshot ? snapshot.value().Voters : consensus::Membership();
}

Result<std::unique_ptr<Store>> formatAndOpen(const std::string &folder,
                                             const FileOps &ops,
                                             const DataFolderHooks &hooks) {
  const auto names = listIfExists(folder, ops);
  if (!names)
    return names.error();
  const bool had_state =
      std::any_of(names.value().begin(), names.value().end(), isDamaged);
  const FolderHistory history{had_state, had_state
                                             ? consensus::Membership()
                                             : interruptedMembers(folder, ops)};
  const FirstState first = hooks.MakeFirstState(history);
  const auto done = Store::format(folder, first.Id, first.Members, ops);
  if (!done)
    return done.error();
  hooks.Log("data folder " + folder + " was " +
            (had_state ? "damaged" : "empty") + ": formatted for member " +
            first.Id.str());
  return Store::open(folder, ops);
}

} // namespace

Result<std::unique_ptr<Store>> openDataFolder(const std::string &folder,
                                              const FileOps &ops,
                                              const DataFolderHooks &hooks) {
  auto store = Store::open(folder, ops);
  if (store)
    return store;
  const bool corrupt = store.error().Code == ErrorCode::Corrupt;
  if (!corrupt && store.error().Code != ErrorCode::NotFound)
    return store;
  const auto names = listIfExists(folder, ops);
  if (!names)
    return names.error();
  const auto used =
      corrupt ? Result<bool>(true) : hasUsedState(folder, names.value(), ops);
  if (!used)
    return used.error();
  if (used.value()) {
    hooks.Log(store.error().Text + "; its files are set aside as " +
              joinPath(folder, DamagedPrefix) +
              "*, and this member takes a new identity");
    if (auto done = setAside(folder, names.value(), ops); !done)
      return done.error();
  }
  return formatAndOpen(folder, ops, hooks);
}

} // namespace almondgate::storage
