#include "process_limits.hpp"

#include <doctest/doctest.h>

#include <malloc.h>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace almondgate;

namespace {

constexpr size_t Bytes = size_t{20} << 20;
constexpr size_t BlockBytes = size_t{4} << 10;

std::vector<std::string> smallBlocks() {
  return {Bytes / BlockBytes, std::string(BlockBytes, 'x')};
}

} // namespace

// The main thread encodes a state in small blocks just before.
TEST_CASE("a thread uses what another one freed") {
  apps::limitAllocator();
  auto blocks = smallBlocks();
  // Keeps the end of the heap in use, so that it can't shrink.
  const std::string last = std::move(blocks.back());
  blocks = {};
  const size_t before = ::mallinfo2().arena;
  size_t during = 0;
  std::thread([&] {
    const auto again = smallBlocks();
    during = ::mallinfo2().arena;
  }).join();
  CHECK(during < before + Bytes / 2);
}

// The storage task writes a snapshot of some 20 MB in a thread of its own.
TEST_CASE("large blocks that were freed are not kept") {
  apps::limitAllocator();
  size_t kept = 0;
  std::thread([&] {
    for (int i = 0; i < 3; ++i) {
      const std::string block(Bytes, 'x');
      const std::string smaller(Bytes / 2, 'x');
    }
    kept = ::mallinfo2().fordblks;
  }).join();
  CHECK(kept < Bytes / 4);
}
