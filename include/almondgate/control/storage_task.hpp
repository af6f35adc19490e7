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
/// delay heartbeats. A batch that fails with NoSpace is retried until there is
/// space; no message that depends on it is sent before.
class StorageTask {
public:
  using OnResult = std::function<void(core::Status)>;

  /// `on_result` is called on the storage thread with the result of each batch.
  /// If the disk is full, it is called once with NoSpace before that.
  StorageTask(std::unique_ptr<storage::Store> store, OnResult on_result);
  ~StorageTask();

  /// Queues a batch. Returns false if the mailbox is full.
  bool write(consensus::DurableBatch batch);

private:
  void writeBatch();

  std::unique_ptr<storage::Store> Store;
  const OnResult Report;
  task::Thread StorageThread;
  std::unique_ptr<task::Timer> Retry;
  /// The batch in flight; used only on the storage thread.
  consensus::DurableBatch Batch;
  bool DiskFull = false;
  std::unique_ptr<task::Mailbox<consensus::DurableBatch>> Inbox;
};

} // namespace almondgate::control

#endif
