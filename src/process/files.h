#ifndef LABURNUMMAST_PROCESS_FILES_H
#define LABURNUMMAST_PROCESS_FILES_H

#include "core/result.h"

#include <cstdint>
#include <string>

namespace Laburnummast::Process
{

/// Why a file could not be read.
enum class FileErrorKind : std::uint8_t {
    CannotOpen,
    TooLarge,
    Empty,
};

struct FileError
{
    FileErrorKind kind = FileErrorKind::CannotOpen;
    std::string path;
};

/// Error message with the path of the file.
std::string describe(const FileError &error);

/// Reads a file of at most 16 MiB.
Result<std::string, FileError> readFile(const std::string &path);

/// Reads a key or credential from a file, without leading and trailing white space; an error if nothing is left.
Result<std::string, FileError> readKeyFile(const std::string &path);

}

#endif
