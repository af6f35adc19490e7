#include "almondgate/control/storage_task.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <filesystem>
#include <future>
#include <unistd.h>

using namespace almondgate;
using namespace almondgate::control;
using core::ErrorCode;

namespace {

/// A store in a folder of its own, whose syncs fail while `Failing` is set.
class FailingStore {
public:
  FailingStore()
      : Folder((std::filesystem::temp_directory_path() /
                ("almondgate-storage-task-" + std::to_string(getpid())))
                   .string()) {
    std::filesystem::remove_all(Folder);
    auto ops = storage::systemFileOps();
    REQUIRE(bool(
        storage::Store::format(Folder, consensus::MemberId("m1"), {}, ops)));
    ops.Sync = [this, sync = ops.Sync](int fd) {
      const core::Status error = core::Error{ErrorCode::Io, "EIO"};
      return Failing ? error : sync(fd);
    };
    auto opened = storage::Store::open(Folder, ops);
    REQUIRE(bool(opened));
    Store = std::move(opened.value());
  }
  ~FailingStore() { std::filesystem::remove_all(Folder); }

  const std::string Folder;
  std::atomic<bool> Failing = false;
  std::unique_ptr<storage::Store> Store;
};

} // namespace

TEST_CASE("a batch that met an I/O error is written once the disk works") {
  FailingStore store;
  std::vector<std::optional<ErrorCode>> results;
  std::promise<void> done;
  store.Failing = true;
  {
    StorageTask task(std::move(store.Store), [&](const core::Status &status) {
      results.push_back(status ? std::optional<ErrorCode>()
                               : std::optional(status.error().Code));
      store.Failing = false;
      if (status || results.size() > 1)
        done.set_value();
    });
    consensus::DurableBatch batch;
    batch.Voted = consensus::Vote{3, consensus::MemberId("m2")};
    REQUIRE(task.write(batch));
    done.get_future().wait();
  }
  CHECK(results ==
        std::vector<std::optional<ErrorCode>>{ErrorCode::Io, std::nullopt});
  auto reopened = storage::Store::open(store.Folder, storage::systemFileOps());
  REQUIRE(bool(reopened));
  CHECK(reopened.value()->takeRecoveredState().Voted.Term == 3);
}
