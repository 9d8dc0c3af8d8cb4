#ifndef LABURNUMMAST_NET_BODYBUFFER_H
#define LABURNUMMAST_NET_BODYBUFFER_H

#include <cstddef>
#include <memory>
#include <span>
#include <string_view>

namespace Laburnummast::Net
{

/// Buffer for reading a body in parts. Allocated on the heap, because CivetWeb's threads have stacks of 100 KB.
class BodyBuffer
{
public:
    /// The whole buffer, to be written to.
    std::span<char> writable()
    {
        return {m_bytes.get(), capacityBytes};
    }
    /// The first `n` bytes of the buffer.
    std::string_view first(std::size_t n) const
    {
        return {m_bytes.get(), n};
    }

private:
    static constexpr std::size_t capacityBytes = 64 << 10;

    std::unique_ptr<char[]> m_bytes = std::make_unique_for_overwrite<char[]>(capacityBytes);
};

}

#endif
