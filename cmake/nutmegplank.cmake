# Helpers that keep each module's CMakeLists.txt to a few lines.

add_compile_options(-Wall -Wextra -Wno-missing-field-initializers -Werror=return-type -fpch-preprocess)

# The heavy headers are compiled once; every target takes the result over.
add_library(nutmegplank_pch STATIC ${CMAKE_SOURCE_DIR}/cmake/pch.cpp)
target_precompile_headers(nutmegplank_pch PRIVATE ${CMAKE_SOURCE_DIR}/cmake/pch.h)
target_link_libraries(nutmegplank_pch PUBLIC
    Threads::Threads Boost::headers Boost::json Boost::url absl::status absl::statusor OpenSSL::SSL OpenSSL::Crypto
    protobuf::libprotobuf-lite)
target_include_directories(nutmegplank_pch PUBLIC ${CMAKE_SOURCE_DIR}/src)
target_include_directories(nutmegplank_pch SYSTEM PUBLIC ${CMAKE_SOURCE_DIR}/generated)

# nutmegplank_module(name SOURCES ... DEPENDS ...): a static library of one module.
function(nutmegplank_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_precompile_headers(${name} REUSE_FROM nutmegplank_pch)
    target_link_libraries(${name} PUBLIC nutmegplank_pch ${ARG_DEPENDS})
endfunction()

# nutmegplank_program(name SOURCES ... DEPENDS ...): one binary, put into <build>/bin.
function(nutmegplank_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_precompile_headers(${name} REUSE_FROM nutmegplank_pch)
    target_link_libraries(${name} PRIVATE nutmegplank_pch docopt ${ARG_DEPENDS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# nutmegplank_test(name SOURCES ... DEPENDS ...): a GoogleTest and RapidCheck binary; each test case is one ctest.
include(GoogleTest)
function(nutmegplank_test name)
    if(NOT NUTMEGPLANK_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_precompile_headers(${name} REUSE_FROM nutmegplank_pch)
    target_link_libraries(${name} PRIVATE nutmegplank_pch ${ARG_DEPENDS} rapidcheck GTest::gtest GTest::gtest_main)
    gtest_discover_tests(${name} DISCOVERY_TIMEOUT 60 PROPERTIES TIMEOUT 120)
endfunction()

# nutmegplank_add_folders(): every folder below with a CMakeLists.txt is a part of its own.
function(nutmegplank_add_folders)
    file(GLOB folders LIST_DIRECTORIES true CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*)
    foreach(folder ${folders})
        if(EXISTS ${folder}/CMakeLists.txt)
            add_subdirectory(${folder})
        endif()
    endforeach()
endfunction()
