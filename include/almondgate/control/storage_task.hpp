#ifndef ALMONDGATE_CONTROL_STORAGE_TASK_HPP
#define ALMONDGATE_CONTROL_STORAGE_TASK_HPP

#include "almondgate/consensus/effects.hpp"
#include "almondgate/core/result.hpp"
#include "almondgate/storage/store.hpp"
#include "almondgate/task/mailbox.hpp"
#include "almondgate/task/thread.hpp"
#include "almondgate/task/timer.hpp"

#include <functional>
#include <memory>

namespace almondgate::control {

/// Owns the data folder on a thread of its own, so that a slow disk does not
/// hold up the heartbeats. A batch that finds no space is written again until
/// there is room: nothing depends on it before.
class StorageTask {
public:
  using Post = std::function<void(core::Status)>;

  /// `post` is called on the storage thread with the end of each batch; before
  /// that once with NoSpace, where the disk is full.
  StorageTask(std::unique_ptr<storage::Store> store, Post post);
  ~StorageTask();

  /// False where the mailbox is full.
  bool write(consensus::DurableBatch batch);

private:
  void tryToWrite();

  std::unique_ptr<storage::Store> Store;
  const Post Done;
  task::Thread Runner;
  std::unique_ptr<task::Timer> Retry;
  /// Under way; used on the storage thread only.
  consensus::DurableBatch Batch;
  bool Full = false;
  std::unique_ptr<task::Mailbox<consensus::DurableBatch>> Inbox;
};

} // namespace almondgate::control

#endif
