#include "process/files.h"

#include "core/text.h"

#include <fstream>
#include <sstream>

namespace Laburnummast::Process
{
namespace
{

constexpr std::size_t maxFileBytes = 16 << 20;

}

std::string describe(const FileError &error)
{
    switch (error.kind) {
    case FileErrorKind::CannotOpen:
        return Text::concat(error.path, ": cannot be opened");
    case FileErrorKind::TooLarge:
        return Text::concat(error.path, ": larger than ", maxFileBytes, " bytes");
    case FileErrorKind::Empty:
        return Text::concat(error.path, ": is empty");
    }
    return error.path;
}

Result<std::string, FileError> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return FileError{.kind = FileErrorKind::CannotOpen, .path = path};
    }
    std::ostringstream text;
    text << stream.rdbuf();
    if (text.str().size() > maxFileBytes) {
        return FileError{.kind = FileErrorKind::TooLarge, .path = path};
    }
    return text.str();
}

Result<std::string, FileError> readKeyFile(const std::string &path)
{
    auto text = readFile(path);
    if (auto *failure = std::get_if<FileError>(&text)) {
        return *failure;
    }
    std::string key(Text::trim(std::get<std::string>(text)));
    if (key.empty()) {
        return FileError{.kind = FileErrorKind::Empty, .path = path};
    }
    return key;
}

}
