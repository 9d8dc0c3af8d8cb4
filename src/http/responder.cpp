#include "http/serverconnection.h"

namespace Laburnummast::Http
{

Responder::Responder(std::weak_ptr<ServerConnection> connection, std::uint64_t requestId)
    : m_connection(std::move(connection))
    , m_requestId(requestId)
{
}

void Responder::send(Response response) const
{
    if (const auto connection = m_connection.lock()) {
        connection->respond(m_requestId, std::move(response));
    }
}

void Responder::abort() const
{
    if (const auto connection = m_connection.lock()) {
        connection->abort(m_requestId);
    }
}

}
