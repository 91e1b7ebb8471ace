if(CORNELRELAY_TESTS)
  include(Catch)
endif()

# Seed of the property tests in CI; scripts/fuzz replaces it.
set(CORNELRELAY_TEST_SEED "20261204" CACHE STRING "RapidCheck seed of the registered tests")

# cornelrelay_package(<name> [DEPENDS <package or target>...] [TEST_DEPENDS ...])
#
# Declares packages/<name>: a library from src/*.cc (header-only without sources) and, when tests/*_test.cc exist,
# a Catch2 executable <name>_tests with one CTest entry per test case.
function(cornelrelay_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc)
  list(TRANSFORM ARG_DEPENDS REPLACE "^cornelrelay::" "cornelrelay_")
  if(sources)
    add_library(cornelrelay_${name} STATIC ${sources})
    target_include_directories(cornelrelay_${name} PUBLIC include PRIVATE src)
    target_link_libraries(cornelrelay_${name} PUBLIC cornelrelay_options ${ARG_DEPENDS})
  else()
    add_library(cornelrelay_${name} INTERFACE)
    target_include_directories(cornelrelay_${name} INTERFACE include)
    target_link_libraries(cornelrelay_${name} INTERFACE cornelrelay_options ${ARG_DEPENDS})
  endif()
  add_library(cornelrelay::${name} ALIAS cornelrelay_${name})

  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cc)
  if(tests AND CORNELRELAY_TESTS)
    add_executable(${name}_tests ${tests})
    target_include_directories(${name}_tests PRIVATE tests src)
    target_link_libraries(${name}_tests PRIVATE cornelrelay::${name} ${ARG_TEST_DEPENDS} Catch2::Catch2WithMain
                                                rapidcheck)
    catch_discover_tests(
      ${name}_tests
      TEST_PREFIX "${name}: "
      PROPERTIES ENVIRONMENT "RC_PARAMS=seed=${CORNELRELAY_TEST_SEED}" TIMEOUT 300)
  endif()
endfunction()

# cornelrelay_binary(<package> <executable> DEPENDS ...): an executable from main/<executable>.cc.
function(cornelrelay_binary package executable)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  add_executable(${executable} ${CMAKE_CURRENT_SOURCE_DIR}/main/${executable}.cc)
  target_link_libraries(${executable} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${executable} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
