#include "fuzz_target.hpp"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

// Feeds each file of the folders given to the target, as a regression test that
// needs no fuzzer.
int main(int argc, char **argv) {
  int files = 0;
  for (int i = 1; i < argc; ++i)
    for (const auto &entry : std::filesystem::directory_iterator(argv[i])) {
      std::ifstream in(entry.path(), std::ios::binary);
      const std::string bytes((std::istreambuf_iterator<char>(in)), {});
      LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t *>(bytes.data()),
                             bytes.size());
      ++files;
    }
  std::printf("%d inputs\n", files);
  return files > 0 ? 0 : 1;
}
