#ifndef LABURNUMMAST_CORE_BOUNDEDARCHIVE_H
#define LABURNUMMAST_CORE_BOUNDEDARCHIVE_H

#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <utility>

namespace Laburnummast
{

/// Reads the format of cereal's portable binary archive from bytes that another host sent.
///
/// A length that exceeds the remaining bytes throws before memory is allocated for it; cereal's own archive would allocate first.
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedInputArchive(std::string_view bytes)
        : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
        , m_remaining(bytes)
    {
        std::uint8_t writerIsLittleEndian = 0;
        readBytes(&writerIsLittleEndian, sizeof(writerIsLittleEndian));
        m_swapBytes = (writerIsLittleEndian != 0) != (std::endian::native == std::endian::little);
    }

    /// Whether all bytes have been read.
    bool atEnd() const
    {
        return m_remaining.empty();
    }

    /// Reads `size` bytes that hold values of `valueSize` bytes each, and converts the values to the byte order of this host.
    void readBytes(void *data, std::size_t size, std::size_t valueSize = 1)
    {
        requireRemaining(size);
        std::memcpy(data, m_remaining.data(), size);
        m_remaining.remove_prefix(size);
        if (m_swapBytes && valueSize > 1) {
            auto *bytes = static_cast<std::uint8_t *>(data);
            for (std::size_t i = 0; i + valueSize <= size; i += valueSize) {
                for (std::size_t k = 0; k < valueSize / 2; ++k) {
                    std::swap(bytes[i + k], bytes[i + valueSize - 1 - k]);
                }
            }
        }
    }

    /// Throws if `size` exceeds the number of remaining bytes. This also limits element counts, as an element takes at least one byte.
    void requireRemaining(std::uint64_t size) const
    {
        if (size > m_remaining.size()) {
            throw cereal::Exception("length exceeds the remaining bytes");
        }
    }

private:
    std::string_view m_remaining;
    bool m_swapBytes = false;
};

}

namespace cereal
{

namespace traits::detail
{

// The output archive of this format; cereal looks it up for types that are saved as a simpler type.
template <>
struct get_output_from_input<Laburnummast::BoundedInputArchive>
{
    using type = PortableBinaryOutputArchive;
};

}

template <class T>
inline typename std::enable_if<std::is_arithmetic<T>::value, void>::type
CEREAL_LOAD_FUNCTION_NAME(Laburnummast::BoundedInputArchive &archive, T &value)
{
    archive.readBytes(&value, sizeof(T), sizeof(T));
}

template <class T>
inline void CEREAL_SERIALIZE_FUNCTION_NAME(Laburnummast::BoundedInputArchive &archive, SizeTag<T> &size)
{
    archive(size.size);
    archive.requireRemaining(size.size);
}

template <class T>
inline void CEREAL_SERIALIZE_FUNCTION_NAME(Laburnummast::BoundedInputArchive &archive, NameValuePair<T> &pair)
{
    archive(pair.value);
}

template <class T>
inline void CEREAL_LOAD_FUNCTION_NAME(Laburnummast::BoundedInputArchive &archive, BinaryData<T> &data)
{
    using Value = typename std::remove_pointer<T>::type;
    archive.readBytes(data.data, static_cast<std::size_t>(data.size), sizeof(Value));
}

}

CEREAL_REGISTER_ARCHIVE(Laburnummast::BoundedInputArchive)

#endif
