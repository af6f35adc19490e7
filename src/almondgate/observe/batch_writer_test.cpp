#include "almondgate/observe/batch_writer.hpp"

#include <doctest/doctest.h>

#include <array>
#include <fcntl.h>
#include <poll.h>
#include <string>
#include <unistd.h>

using almondgate::observe::BatchWriter;
using almondgate::observe::BatchWriterOptions;

namespace {

// Longer than the test takes, so that only urgent lines and the end of the
// writer cause writes.
constexpr almondgate::core::DurationMs Never{3600000};

// A pipe that keeps each write apart, so that they can be counted.
struct PacketPipe {
  PacketPipe() {
    REQUIRE(::pipe2(Ends.data(), O_DIRECT) == 0);
    REQUIRE(::fcntl(Ends[0], F_SETFL, O_NONBLOCK) == 0);
  }
  ~PacketPipe() {
    for (const int fd : Ends)
      ::close(fd);
  }

  /// Returns the bytes of one write; empty if there is none.
  std::string read() const {
    std::array<char, 8192> buf{};
    const ssize_t n = ::read(Ends[0], buf.data(), buf.size());
    return n > 0 ? std::string(buf.data(), size_t(n)) : std::string();
  }

  std::string waitAndRead() const {
    pollfd row{Ends[0], POLLIN, 0};
    return ::poll(&row, 1, -1) == 1 ? read() : std::string();
  }

  std::array<int, 2> Ends{};
};

BatchWriterOptions options() {
  BatchWriterOptions out;
  out.CollectFor = Never;
  out.Patience = {10};
  return out;
}

} // namespace

// Guards against a wake-up and a system call for each line.
TEST_CASE("lines are written together, an urgent one at once") {
  const PacketPipe pipe;
  int64_t dropped = 0;
  BatchWriter writer(pipe.Ends[1], options(), [&](int64_t n) { dropped += n; });
  writer.write("a\n");
  writer.write("b\n");
  writer.write("c\n", true);
  CHECK(pipe.waitAndRead() == "a\nb\nc\n");
  writer.write("d\n");
  writer.write("e\n");
  writer.close();
  CHECK(pipe.read() == "d\ne\n");
  CHECK(dropped == 0);
}

TEST_CASE("a batch is divided between lines") {
  const PacketPipe pipe;
  BatchWriter writer(pipe.Ends[1], options(), [](int64_t) {});
  const std::string line = std::string(1500, 'x') + "\n";
  for (int i = 0; i < 5; ++i)
    writer.write(line);
  writer.close();
  for (const int lines : {2, 2, 1}) {
    const auto written = pipe.read();
    CHECK(written.size() == size_t(lines) * line.size());
    CHECK(written.back() == '\n');
  }
}

TEST_CASE("lines beyond the limit are dropped and counted") {
  const PacketPipe pipe;
  int64_t dropped = 0;
  auto small = options();
  small.MaxBytes = 4;
  BatchWriter writer(pipe.Ends[1], small, [&](int64_t n) { dropped += n; });
  for (const auto *line : {"a\n", "b\n", "c\n"})
    writer.write(line);
  writer.close();
  CHECK(pipe.read() == "a\nb\n");
  CHECK(dropped == 1);
}

TEST_CASE("lines that can't be written are counted") {
  const int full = ::open("/dev/full", O_WRONLY);
  int64_t dropped = 0;
  {
    BatchWriter writer(full, options(), [&](int64_t n) { dropped += n; });
    for (int i = 0; i < 3; ++i)
      writer.write("x\n");
  }
  ::close(full);
  CHECK(dropped == 3);
}

TEST_CASE("a line after the end of the writer is written at once") {
  const PacketPipe pipe;
  BatchWriter writer(pipe.Ends[1], options(), [](int64_t) {});
  writer.close();
  writer.write("a\n");
  CHECK(pipe.read() == "a\n");
}
