#include "almondgate/control/storage_task.hpp"

namespace almondgate::control {

namespace {

// A member has one batch under way at a time.
constexpr size_t InboxCapacity = 2;
// A full disk is tried this often: acknowledgements wait no longer than that
// once there is room.
constexpr core::DurationMs FullDiskRetry{100};

} // namespace

StorageTask::StorageTask(std::unique_ptr<storage::Store> store, Post post)
    : Store(std::move(store)), Done(std::move(post)) {
  Inbox = std::make_unique<task::Mailbox<consensus::DurableBatch>>(
      Runner.loop(), InboxCapacity, [this](consensus::DurableBatch batch) {
        Batch = std::move(batch);
        tryToWrite();
      });
  Retry = std::make_unique<task::Timer>(Runner.loop());
  Runner.start();
}

StorageTask::~StorageTask() { Runner.stop(); }

void StorageTask::tryToWrite() {
  const core::Status done = Store->write(Batch);
  const bool full = !done && done.error().Code == core::ErrorCode::NoSpace;
  if (full)
    Retry->once(FullDiskRetry, [this] { tryToWrite(); });
  const bool was_full = std::exchange(Full, full);
  if (!full || !was_full)
    Done(done);
}

bool StorageTask::write(consensus::DurableBatch batch) {
  return Inbox->post(std::move(batch));
}

} // namespace almondgate::control
