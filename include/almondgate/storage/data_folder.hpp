#ifndef ALMONDGATE_STORAGE_DATA_FOLDER_HPP
#define ALMONDGATE_STORAGE_DATA_FOLDER_HPP

#include "almondgate/storage/store.hpp"

#include <functional>
#include <memory>
#include <string>

namespace almondgate::storage {

/// The state that an empty data folder is formatted with.
struct FirstState {
  consensus::MemberId Id;
  consensus::Membership Members;

  bool operator==(const FirstState &) const = default;
};

/// What an empty data folder was before.
struct FolderHistory {
  /// True if it contained a member's state: a member that lost its state must
  /// not found a group.
  bool HadState = false;
  /// The first membership of a format that was interrupted. No member was ever
  /// started with it.
  consensus::Membership Interrupted;

  bool operator==(const FolderHistory &) const = default;
};

/// Hooks of openDataFolder().
struct DataFolderHooks {
  /// Returns the state for an empty folder.
  std::function<FirstState(const FolderHistory &history)> MakeFirstState;
  std::function<void(const std::string &)> Log;
};

/// Opens a data folder; an empty or unfinished one is formatted first. Damaged
/// files are set aside under other names (damaged-NAME, the latest set only),
/// and the folder is formatted anew. Errors: those of Store::open() other than
/// NotFound and Corrupt.
core::Result<std::unique_ptr<Store>>
openDataFolder(const std::string &folder, const FileOps &ops,
               const DataFolderHooks &hooks);

} // namespace almondgate::storage

#endif
