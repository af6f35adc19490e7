#include "almondgate/control/storage_task.hpp"

namespace almondgate::control {

namespace {

// A member has one batch in flight at a time.
constexpr size_t InboxCapacity = 2;
// Interval between write attempts on a full disk: the longest extra delay of an
// acknowledgement once there is space.
constexpr core::DurationMs FullDiskRetry{100};

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

void StorageTask::writeBatch() {
  const core::Status status = Store->write(Batch);
  const bool full = !status && status.error().Code == core::ErrorCode::NoSpace;
  if (full)
    Retry->once(FullDiskRetry, [this] { writeBatch(); });
  const bool was_full = std::exchange(DiskFull, full);
  if (!full || !was_full)
    Report(status);
}

bool StorageTask::write(consensus::DurableBatch batch) {
  return Inbox->post(std::move(batch));
}

} // namespace almondgate::control
