#ifndef ALMONDGATE_CONTROL_STORAGE_TASK_HPP
#define ALMONDGATE_CONTROL_STORAGE_TASK_HPP

#include "almondgate/consensus/effects.hpp"
#include "almondgate/core/result.hpp"
#include "almondgate/storage/store.hpp"
#include "almondgate/task/mailbox.hpp"
#include "almondgate/task/thread.hpp"

#include <functional>
#include <memory>

namespace almondgate::control {

/// Owns the data folder on a thread of its own, so that a slow disk does not
/// hold up the heartbeats.
class StorageTask {
public:
  using Post = std::function<void(core::Status)>;

  /// `post` is called on the storage thread, once for each batch.
  StorageTask(std::unique_ptr<storage::Store> store, Post post);
  ~StorageTask();

  /// False where the mailbox is full.
  bool write(consensus::DurableBatch batch);

private:
  std::unique_ptr<storage::Store> Store;
  const Post Done;
  task::Thread Runner;
  std::unique_ptr<task::Mailbox<consensus::DurableBatch>> Inbox;
};

} // namespace almondgate::control

#endif
