#ifndef ALMONDGATE_STORAGE_STORE_HPP
#define ALMONDGATE_STORAGE_STORE_HPP

#include "almondgate/consensus/effects.hpp"
#include "almondgate/storage/file_ops.hpp"

#include <memory>
#include <string>

namespace almondgate::storage {

/// A member's data folder: its identity, a snapshot, and a log of batches.
/// After an error other than NoSpace nothing more is written: the member must
/// stop.
class Store {
public:
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  /// Writes the identity into an empty folder, with the first membership.
  /// Errors: Conflict where the folder has an identity already, Io.
  static core::Status format(const std::string &folder,
                             const consensus::MemberId &id,
                             const consensus::Membership &first,
                             const FileOps &ops);

  /// Opens a formatted folder and locks it. A torn tail is cut. Errors:
  /// NotFound where there is no identity, Conflict where another process has
  /// the folder, Corrupt, Io.
  static core::Result<std::unique_ptr<Store>> open(const std::string &folder,
                                                   FileOps ops);

  const consensus::MemberId &identity() const { return Identity; }

  /// What the folder held when it was opened; may be taken once.
  consensus::DurableState takeRecoveredState() { return std::move(Found); }

  /// Writes a batch and makes it durable. Errors: NoSpace, after which the
  /// folder holds what it held before, and the same batch may be written again;
  /// Io.
  core::Status write(const consensus::DurableBatch &batch);

private:
  Store(std::string folder, FileOps ops);

  core::Status load();
  core::Status loadGeneration(uint64_t base);
  core::Status append(const consensus::DurableBatch &batch);
  core::Status startGeneration(const consensus::DurableBatch &batch);
  void removeOtherGenerations(uint64_t keep);
  std::string path(const std::string &name) const;

  const std::string Folder;
  const FileOps Ops;
  consensus::MemberId Identity;
  consensus::DurableState Found;
  consensus::Vote LastVote;
  int LockFd = -1;
  int LogFd = -1;
  /// Bytes of the log that are durable.
  size_t LogBytes = 0;
  bool Failed = false;
};

} // namespace almondgate::storage

#endif
