#ifndef LABURNUMMAST_STANDIN_FLAGS_H
#define LABURNUMMAST_STANDIN_FLAGS_H

#include <absl/flags/declare.h>
#include <cstdint>
#include <string>

// Command-line flags shared by the servers; defined in serve.cpp.
ABSL_DECLARE_FLAG(std::string, listen);
ABSL_DECLARE_FLAG(int, threads);

#endif
