function(almondgate_program name source)
  add_executable(${name} ${CMAKE_SOURCE_DIR}/${source})
  target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()

add_library(almondgate_process STATIC apps/process_limits.cpp
            apps/process_signals.cpp)
target_include_directories(almondgate_process PUBLIC ${CMAKE_SOURCE_DIR}/apps)
target_link_libraries(almondgate_process PUBLIC almondgate_task
                      almondgate_observe)
almondgate_program(almondgate-entry apps/entry_main.cpp almondgate_entry
                   almondgate_process)
almondgate_program(almondgate-placer apps/placer_main.cpp almondgate_placer
                   almondgate_http almondgate_process)
add_library(almondgate_control_program STATIC apps/control_program.cpp)
target_link_libraries(almondgate_control_program PUBLIC almondgate_control
                      almondgate_http almondgate_process)
almondgate_program(almondgate-control apps/control_main.cpp
                   almondgate_control_program)
almondgate_program(almondgate-ctl apps/ctl_main.cpp almondgate_ctl)
if(NOT ALMONDGATE_BUILD_TESTS)
  return()
endif()
add_executable(process_test apps/process_limits_test.cpp
               $<TARGET_OBJECTS:doctest_main>)
target_link_libraries(process_test PRIVATE almondgate_process
                      almondgate_testing)
add_test(NAME process COMMAND process_test)
almondgate_program(fake-worker tools/fake_worker.cpp almondgate_endpoint)
almondgate_program(fake-endpoint tools/fake_endpoint.cpp almondgate_http)
add_executable(almondgate-bench
               bench/main.cpp bench/pool_scenarios.cpp
               bench/other_scenarios.cpp bench/report.cpp
               bench/virtual_pool.cpp)
target_link_libraries(almondgate-bench PRIVATE almondgate_placer)
almondgate_program(almondgate-capacity bench/capacity.cpp almondgate_placer
                   almondgate_control)
add_executable(almondgate-dispatch-bench bench/dispatch.cpp
               bench/lean_fleet.cpp)
target_link_libraries(almondgate-dispatch-bench PRIVATE almondgate_dispatch)
almondgate_program(example-choose-vm examples/choose_vm.cpp almondgate_policy)
almondgate_program(example-share-slots examples/share_slots.cpp
                   almondgate_policy)
almondgate_program(example-mailbox examples/mailbox.cpp almondgate_task)
