get_property(libraries GLOBAL PROPERTY BULRUSHSHORE_LIBRARIES)
install(
  TARGETS ${libraries} bulrushshore_options caf_core
  EXPORT bulrushshoreTargets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(
  DIRECTORY ${PROJECT_SOURCE_DIR}/libraries
  DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/bulrushshore
  FILES_MATCHING
  PATTERN "*.h")
install(
  EXPORT bulrushshoreTargets
  NAMESPACE bulrushshore::
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/bulrushshore)
install(FILES cmake/bulrushshoreConfig.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/bulrushshore)
