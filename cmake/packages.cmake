# almondgate_package(NAME deps...): builds the library of src/almondgate/NAME and
# its unit tests, the *_test.cpp files in the same folder.
enable_testing()

if(ALMONDGATE_BUILD_TESTS)
  add_library(doctest_main OBJECT ${CMAKE_SOURCE_DIR}/tests/doctest_main.cpp)
endif()

function(almondgate_package name)
  file(GLOB all CONFIGURE_DEPENDS
       ${CMAKE_SOURCE_DIR}/src/almondgate/${name}/*.cpp)
  set(sources ${all})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  set(tests ${all})
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  add_library(almondgate_${name} STATIC ${sources})
  target_include_directories(almondgate_${name}
                             PUBLIC ${CMAKE_SOURCE_DIR}/include)
  target_link_libraries(almondgate_${name} PUBLIC ${ARGN})
  if(tests AND ALMONDGATE_BUILD_TESTS)
    add_executable(${name}_test ${tests} $<TARGET_OBJECTS:doctest_main>)
    target_link_libraries(${name}_test PRIVATE almondgate_${name}
                          almondgate_testing)
    target_include_directories(${name}_test PRIVATE
                               ${CMAKE_SOURCE_DIR}/src/almondgate/${name})
    add_test(NAME ${name} COMMAND ${name}_test ${${name}_test_arguments})
  endif()
endfunction()

# Helpers shared by the tests. No library or program depends on them.
add_library(almondgate_testing INTERFACE)
target_include_directories(almondgate_testing INTERFACE ${CMAKE_SOURCE_DIR})

almondgate_package(core crypto)
almondgate_package(task almondgate_core almondgate_observe uv)
almondgate_package(model almondgate_core)
almondgate_package(jobs almondgate_core)
almondgate_package(state almondgate_model almondgate_jobs)
almondgate_package(policy almondgate_state)
almondgate_package(consensus almondgate_core)
almondgate_package(encoding almondgate_state almondgate_consensus)
almondgate_package(storage almondgate_encoding z)
almondgate_package(observe almondgate_core log4cxx prometheus-cpp-core)
almondgate_package(config almondgate_core almondgate_observe)
almondgate_package(protocol almondgate_task almondgate_encoding
                   almondgate_observe nghttp2)
# The random cases run beside the others: they take more than half of the time.
set(dispatch_test_arguments "--test-case-exclude=*random*")
almondgate_package(dispatch almondgate_policy almondgate_observe)
if(ALMONDGATE_BUILD_TESTS)
  add_test(NAME dispatch_random
           COMMAND dispatch_test "--test-case=*random*")
endif()
almondgate_package(http almondgate_task almondgate_observe h2o ssl crypto z uv
                   http_parser)
almondgate_package(watch almondgate_protocol almondgate_model)
almondgate_package(entry almondgate_http almondgate_watch almondgate_policy
                   almondgate_config)
almondgate_package(placer almondgate_watch almondgate_policy almondgate_config)
almondgate_package(endpoint almondgate_protocol almondgate_dispatch)
almondgate_package(control almondgate_protocol almondgate_endpoint almondgate_storage
                   almondgate_dispatch almondgate_config)
almondgate_package(ctl almondgate_http almondgate_core)
