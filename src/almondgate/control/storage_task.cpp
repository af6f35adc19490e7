#include "almondgate/control/storage_task.hpp"

namespace almondgate::control {

namespace {

// A member has one batch under way at a time.
constexpr size_t InboxCapacity = 2;

} // namespace

StorageTask::StorageTask(std::unique_ptr<storage::Store> store, Post post)
    : Store(std::move(store)), Done(std::move(post)) {
  Inbox = std::make_unique<task::Mailbox<consensus::DurableBatch>>(
      Runner.loop(), InboxCapacity,
      [this](const consensus::DurableBatch &batch) {
        Done(Store->write(batch));
      });
  Runner.start();
}

StorageTask::~StorageTask() { Runner.stop(); }

bool StorageTask::write(consensus::DurableBatch batch) {
  return Inbox->post(std::move(batch));
}

} // namespace almondgate::control
