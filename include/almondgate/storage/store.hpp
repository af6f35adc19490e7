#ifndef ALMONDGATE_STORAGE_STORE_HPP
#define ALMONDGATE_STORAGE_STORE_HPP

#include "almondgate/consensus/effects.hpp"
#include "almondgate/storage/file_ops.hpp"

#include <memory>
#include <string>

namespace almondgate::storage {

/// A member's data folder: its identity, a snapshot, and a log of batches.
/// After an error other than NoSpace, all further writes fail until recover()
/// succeeds.
class Store {
public:
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  /// Formats an empty folder with an identity and the initial membership.
  /// Errors: Conflict if the folder already has an identity, NoSpace, Io.
  static core::Status format(const std::string &folder,
                             const consensus::MemberId &id,
                             const consensus::Membership &first,
                             const FileOps &ops);

  /// Opens and locks a formatted folder, and truncates a torn tail of the log.
  /// Errors: NotFound if there is no identity, Conflict if another process
  /// holds the lock, InvalidArgument if another version of this program wrote
  /// it, Corrupt, NoSpace, Io.
  static core::Result<std::unique_ptr<Store>> open(const std::string &folder,
                                                   FileOps ops);

  const consensus::MemberId &identity() const { return Identity; }

  /// The state that was read when the folder was opened; to be called once.
  consensus::DurableState takeRecoveredState() { return std::move(Recovered); }

  /// Writes a batch and makes it durable. Errors: Io, and NoSpace, after which
  /// the folder is unchanged and the same batch may be written again.
  core::Status write(const consensus::DurableBatch &batch);

  /// Reads the folder again after a write that failed with Io; then the same
  /// batch can be written again. Errors: Corrupt if what was durable can no
  /// longer be read, Io, NoSpace.
  core::Status recover();
  /// True if recover() has to succeed before the next write.
  bool hasFailed() const { return Failed; }

private:
  Store(std::string folder, FileOps ops);

  core::Status load();
  core::Status loadGeneration(uint64_t base);
  core::Status append(const consensus::DurableBatch &batch);
  /// Writes the batch's snapshot and starts a log file that follows it.
  core::Status startGeneration(const consensus::DurableBatch &batch);
  /// Removes snapshots and logs other than those with base index `keep`, and
  /// files that were not completed.
  void removeOtherGenerations(uint64_t keep);
  std::string path(const std::string &name) const;

  const std::string Folder;
  const FileOps Ops;
  consensus::MemberId Identity;
  consensus::DurableState Recovered;
  consensus::Vote LastVote;
  int LockFd = -1;
  int LogFd = -1;
  /// Base index of the current snapshot and log.
  uint64_t Generation = 0;
  /// Bytes of the log that are durable.
  size_t LogBytes = 0;
  bool Failed = false;
};

} // namespace almondgate::storage

#endif
