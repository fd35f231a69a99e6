include(CMakeFindDependencyMacro)
find_dependency(Threads)
find_dependency(Protobuf)
include("${CMAKE_CURRENT_LIST_DIR}/godwitfallTargets.cmake")
