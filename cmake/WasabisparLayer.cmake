# wasabispar_layer(<name> DEPENDS <targets>...)
#
# Defines the library wasabispar_<name> (alias wasabispar::<name>) from
# src/wasabispar/<name>/*.cpp and, when *_test.cpp files stand beside them, the
# doctest executable <name>_test. DEPENDS is public: a layer sees only what stands
# below it. SEPARATE_TEST <test name> <pattern> gives the doctest cases that match the
# pattern a ctest entry of their own, so that KNOWN-RED.txt can name them alone.
function(wasabispar_layer NAME)
  cmake_parse_arguments(LAYER "" "" "DEPENDS;SEPARATE_TEST" ${ARGN})
  set(DIR ${CMAKE_SOURCE_DIR}/src/wasabispar/${NAME})
  file(GLOB SOURCES CONFIGURE_DEPENDS ${DIR}/*.cpp ${DIR}/generated/*.cc)
  set(TESTS ${SOURCES})
  list(FILTER SOURCES EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER TESTS INCLUDE REGEX "_test\\.cpp$")

  if(SOURCES)
    add_library(wasabispar_${NAME} STATIC ${SOURCES})
    target_include_directories(wasabispar_${NAME} PUBLIC ${CMAKE_SOURCE_DIR}/include)
    # src/ is private: generated code and headers that no other layer may include.
    target_include_directories(wasabispar_${NAME} PRIVATE ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(wasabispar_${NAME} PUBLIC ${LAYER_DEPENDS})
  else()
    add_library(wasabispar_${NAME} INTERFACE)
    target_include_directories(wasabispar_${NAME} INTERFACE ${CMAKE_SOURCE_DIR}/include)
    target_link_libraries(wasabispar_${NAME} INTERFACE ${LAYER_DEPENDS})
  endif()
  add_library(wasabispar::${NAME} ALIAS wasabispar_${NAME})

  if(TESTS)
    add_executable(${NAME}_test ${TESTS} ${CMAKE_SOURCE_DIR}/tests/test_main.cpp)
    target_include_directories(${NAME}_test PRIVATE ${CMAKE_SOURCE_DIR}/src
                               ${CMAKE_SOURCE_DIR}/tests)
    target_compile_definitions(${NAME}_test PRIVATE
                               WASABISPAR_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_link_libraries(${NAME}_test PRIVATE wasabispar::${NAME} rapidcheck)
    set(CTEST_NAMES ${NAME})
    set(SEPARATE_PATTERNS "")
    while(LAYER_SEPARATE_TEST)
      list(POP_FRONT LAYER_SEPARATE_TEST SEPARATE_NAME SEPARATE_PATTERN)
      add_test(NAME ${SEPARATE_NAME} COMMAND ${NAME}_test "-tc=${SEPARATE_PATTERN}")
      list(APPEND CTEST_NAMES ${SEPARATE_NAME})
      list(APPEND SEPARATE_PATTERNS ${SEPARATE_PATTERN})
    endwhile()
    if(SEPARATE_PATTERNS)
      list(JOIN SEPARATE_PATTERNS "," SEPARATE_PATTERNS)
      add_test(NAME ${NAME} COMMAND ${NAME}_test "-tce=${SEPARATE_PATTERNS}")
    else()
      add_test(NAME ${NAME} COMMAND ${NAME}_test)
    endif()
    # One fixed rapidcheck seed, so that each run gives the same verdict.
    set_tests_properties(${CTEST_NAMES} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204"
                         LABELS unit TIMEOUT 600)
  endif()
endfunction()
