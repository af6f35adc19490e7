# Decoders of bytes from outside. Each target is built as a replay of its corpus,
# which is a test; with ALMONDGATE_FUZZ (clang) it is a libFuzzer program.
option(ALMONDGATE_FUZZ "Build fuzz targets with libFuzzer" OFF)

function(almondgate_fuzz_target name)
  add_executable(${name}_fuzz fuzz/${name}_fuzz.cpp)
  target_link_libraries(${name}_fuzz PRIVATE ${ARGN})
  target_include_directories(${name}_fuzz PRIVATE fuzz platform
                             src/almondgate/http)
  if(ALMONDGATE_FUZZ)
    target_link_options(${name}_fuzz PRIVATE -fsanitize=fuzzer)
  else()
    target_sources(${name}_fuzz PRIVATE fuzz/replay.cpp)
    add_test(NAME ${name}_corpus
             COMMAND ${name}_fuzz ${CMAKE_SOURCE_DIR}/fuzz/corpus/${name})
  endif()
endfunction()

almondgate_fuzz_target(http_messages almondgate_http)
almondgate_fuzz_target(inner_messages almondgate_encoding almondgate_endpoint)
almondgate_fuzz_target(stored_frames almondgate_storage)
if(ALMONDGATE_PLATFORM)
  almondgate_fuzz_target(platform_bodies almondgate_platform)
endif()
