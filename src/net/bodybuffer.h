#ifndef LABURNUMMAST_NET_BODYBUFFER_H
#define LABURNUMMAST_NET_BODYBUFFER_H

#include <cstddef>
#include <memory>
#include <span>
#include <string_view>

namespace Laburnummast::Net
{

/// Room for one piece of a body. On the heap: the server library's threads have stacks of 100 KB.
class BodyBuffer
{
public:
    std::span<char> writable()
    {
        return {m_bytes.get(), capacityBytes};
    }
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
