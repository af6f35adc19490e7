#include "almondgate/control/storage_task.hpp"

#include <algorithm>
#include <utility>

namespace almondgate::control {

namespace {

// A member has one batch in flight at a time.
constexpr size_t InboxCapacity = 2;
// Interval between write attempts on a full disk: the longest extra delay of an
// acknowledgement once there is space.
constexpr core::DurationMs FullDiskRetry{100};
// A disk that fails may do so for good: the interval doubles from the first to
// the last of these.
constexpr core::DurationMs FirstFailureRetry{100};
constexpr core::DurationMs LastFailureRetry{2000};

} // namespace

StorageTask::StorageTask(std::unique_ptr<storage::Store> store,
                         OnResult on_result)
    : Store(std::move(store)), Report(std::move(on_result)) {
  Inbox = std::make_unique<task::Mailbox<consensus::DurableBatch>>(
      StorageThread.loop(), InboxCapacity,
      [this](consensus::DurableBatch batch) {
        Batch = std::move(batch);
        writeBatch();
      });
  Retry = std::make_unique<task::Timer>(StorageThread.loop());
  StorageThread.start();
}

StorageTask::~StorageTask() { StorageThread.stop(); }

core::Status StorageTask::tryWrite() {
  if (Store->hasFailed())
    if (auto recovered = Store->recover(); !recovered)
      return recovered;
  return Store->write(Batch);
}

void StorageTask::retryLater(core::ErrorCode failure) {
  if (failure == core::ErrorCode::NoSpace)
    RetryDelay = FullDiskRetry;
  else if (Failure == failure)
    RetryDelay = std::min(RetryDelay * 2, LastFailureRetry);
  else
    RetryDelay = FirstFailureRetry;
  Retry->once(RetryDelay, [this] { writeBatch(); });
}

void StorageTask::writeBatch() {
  const core::Status status = tryWrite();
  std::optional<core::ErrorCode> failure;
  if (!status && status.error().Code != core::ErrorCode::Corrupt)
    failure = status.error().Code;
  if (failure)
    retryLater(*failure);
  const auto last = std::exchange(Failure, failure);
  if (!failure || failure != last)
    Report(status);
}

bool StorageTask::write(consensus::DurableBatch batch) {
  return Inbox->post(std::move(batch));
}

} // namespace almondgate::control
