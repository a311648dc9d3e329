int placeholder_for_build;
