#ifndef ALMONDGATE_CONTROL_STORAGE_TASK_HPP
#define ALMONDGATE_CONTROL_STORAGE_TASK_HPP

#include "almondgate/consensus/effects.hpp"
#include "almondgate/core/duration_ms.hpp"
#include "almondgate/core/result.hpp"
#include "almondgate/storage/store.hpp"
#include "almondgate/task/mailbox.hpp"
#include "almondgate/task/thread.hpp"
#include "almondgate/task/timer.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace almondgate::control {

/// Owns the data folder on a thread of its own, so that a slow disk does not
/// delay heartbeats. A batch that fails is retried until it is written; no
/// message that depends on it is sent before.
class StorageTask {
public:
  using OnResult = std::function<void(core::Status)>;

  /// `on_result` is called on the storage thread with the result of each batch,
  /// and before that with the error whenever the retries begin to fail with
  /// another one. Corrupt is the last result: what was durable can't be read
  /// any more.
  StorageTask(std::unique_ptr<storage::Store> store, OnResult on_result);
  ~StorageTask();

  /// Queues a batch. Returns false if the mailbox is full.
  bool write(consensus::DurableBatch batch);

private:
  void writeBatch();
  core::Status tryWrite();
  void retryLater(core::ErrorCode failure);

  std::unique_ptr<storage::Store> Store;
  const OnResult Report;
  task::Thread StorageThread;
  std::unique_ptr<task::Timer> Retry;
  /// The batch in flight; used only on the storage thread.
  consensus::DurableBatch Batch;
  /// The error that the batch in flight failed with last.
  std::optional<core::ErrorCode> Failure;
  core::DurationMs RetryDelay;
  std::unique_ptr<task::Mailbox<consensus::DurableBatch>> Inbox;
};

} // namespace almondgate::control

#endif
