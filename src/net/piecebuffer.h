#ifndef LABURNUMMAST_NET_PIECEBUFFER_H
#define LABURNUMMAST_NET_PIECEBUFFER_H

#include <cstddef>
#include <memory>
#include <span>
#include <string_view>

namespace Laburnummast::Net
{

/// Room for one piece of a body. On the heap: the server library's threads have stacks of 100 KB.
class PieceBuffer
{
public:
    std::span<char> room()
    {
        return {m_bytes.get(), pieceBytes};
    }
    std::string_view first(std::size_t n) const
    {
        return {m_bytes.get(), n};
    }

private:
    static constexpr std::size_t pieceBytes = 64 << 10;

    std::unique_ptr<char[]> m_bytes = std::make_unique_for_overwrite<char[]>(pieceBytes);
};

}

#endif
