#include "almondgate/observe/line_writer.hpp"

#include <doctest/doctest.h>

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using almondgate::observe::LineWriter;

namespace {

constexpr almondgate::core::DurationMs Patience{10};

struct Pipe {
  Pipe() {
    REQUIRE(::pipe(Ends.data()) == 0);
    REQUIRE(::fcntl(Ends[0], F_SETFL, O_NONBLOCK) == 0);
  }
  ~Pipe() {
    for (const int fd : Ends)
      ::close(fd);
  }

  std::string readAll() const {
    std::string out;
    std::array<char, 4096> buf{};
    for (ssize_t n = 0; (n = ::read(Ends[0], buf.data(), buf.size())) > 0;)
      out.append(buf.data(), size_t(n));
    return out;
  }

  std::array<int, 2> Ends{};
};

} // namespace

TEST_CASE("lines that nobody reads are dropped, not waited for") {
  const Pipe pipe;
  LineWriter writer(pipe.Ends[1], Patience);
  const std::string line(1000, 'x');
  size_t written = 0;
  while (writer.write(line + "\n"))
    ++written;
  for (int i = 0; i < 100000; ++i)
    REQUIRE_FALSE(writer.write(line + "\n"));

  const std::string seen = pipe.readAll();
  CHECK(seen.size() >= written * (line.size() + 1));
  CHECK(writer.write("after\n"));
  const std::string rest = pipe.readAll();
  CHECK((rest == "after\n" || rest == "\nafter\n"));
}

TEST_CASE("a long line that is cut ends before the next line") {
  const Pipe pipe;
  LineWriter writer(pipe.Ends[1], Patience);
  CHECK_FALSE(writer.write(std::string(size_t{1} << 20, 'x') + "\n"));
  CHECK(pipe.readAll().size() >= 4096);
  CHECK(writer.write("after\n"));
  CHECK(pipe.readAll() == "\nafter\n");
}

TEST_CASE("a line is dropped if its descriptor takes no bytes") {
  const int full = ::open("/dev/full", O_WRONLY);
  LineWriter writer(full, Patience);
  CHECK_FALSE(writer.write("x\n"));
  ::close(full);
  CHECK_FALSE(writer.write("x\n"));
}
