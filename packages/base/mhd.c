#include "base/mhd.h"

#include "base/fetch.h"

#include <arpa/inet.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024
#define LISTEN_HOST_BYTES 64
#define LISTEN_ADDRESS_BYTES 64

void mhd_set_receive_bytes(int fd, int receive_bytes)
{
	const int half = receive_bytes / 2; /* the kernel grants twice as much */

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &half, sizeof(half));
}

int mhd_listen(const char *address, GError **error)
{
	char host[LISTEN_HOST_BYTES];
	struct sockaddr_in at = {.sin_family = AF_INET};
	const int enable = 1;
	uint16_t port;
	int fd;

	if (!fetch_split_address(address, host, sizeof(host), &port) ||
	    inet_pton(AF_INET, host, &at.sin_addr) != 1) {
		err_set(error, ERR_SETTINGS, "%s is not an IPv4 address with a port", address);
		return -1;
	}
	at.sin_port = htons(port);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
	mhd_set_receive_bytes(fd, MHD_RECEIVE_BYTES);
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 || listen(fd, LISTEN_BACKLOG) != 0) {
		err_set(error, ERR_IO, "can't listen on %s", address);
		close(fd);
		return -1;
	}
	return fd;
}

void mhd_bound_address(int fd, char *text)
{
	struct sockaddr_in at = {0};
	socklen_t len = sizeof(at);
	char host[INET_ADDRSTRLEN] = "";

	getsockname(fd, (struct sockaddr *)&at, &len);
	inet_ntop(AF_INET, &at.sin_addr, host, sizeof(host));
	g_snprintf(text, LISTEN_ADDRESS_BYTES, "%s:%u", host, ntohs(at.sin_port));
}

enum MHD_Result mhd_respond(struct MHD_Connection *conn, unsigned status, const char *type,
			    const void *body, size_t len)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer(len, (void *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	MHD_add_response_header(response, "Content-Type", type);
	rc = MHD_queue_response(conn, status, response);
	MHD_destroy_response(response);
	return rc;
}

const char *mhd_bearer(struct MHD_Connection *conn)
{
	static const char scheme[] = "Bearer ";
	const char *value = MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "Authorization");

	if (!value || strncasecmp(value, scheme, strlen(scheme)) != 0)
		return NULL;
	return value + strlen(scheme);
}

bool mhd_has_bearer(struct MHD_Connection *conn, const char *key)
{
	const char *given = mhd_bearer(conn);
	char *a = g_compute_checksum_for_string(G_CHECKSUM_SHA256, given ? given : "", -1);
	char *b = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	unsigned char difference = given ? 0 : 1;

	for (size_t i = 0; a[i]; i++)
		difference |= (unsigned char)(a[i] ^ b[i]);
	g_free(a);
	g_free(b);
	return difference == 0;
}

struct header_count {
	const char *name;
	int count;
};

static enum MHD_Result count_header(void *arg, enum MHD_ValueKind kind, const char *key,
				    const char *value)
{
	struct header_count *header_count = arg;

	if (strcasecmp(key, header_count->name) == 0)
		header_count->count++;
	return MHD_YES;
}

bool mhd_is_header_repeated(struct MHD_Connection *conn, const char *name)
{
	struct header_count header_count = {.name = name};

	MHD_get_connection_values(conn, MHD_HEADER_KIND, count_header, &header_count);
	return header_count.count > 1;
}
