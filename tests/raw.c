#include "raw.h"

#include "base/fetch.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RAW_BLOCK_BYTES 4096
#define RAW_HOST_BYTES 64

int raw_connect(const char *address)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	char host[RAW_HOST_BYTES];
	uint16_t port;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	ck_assert(fetch_split_address(address, host, sizeof(host), &port));
	at.sin_port = htons(port);
	inet_pton(AF_INET, host, &at.sin_addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	return fd;
}

void raw_write(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);
		if (n <= 0)
			return;
		data += n;
		len -= (size_t)n;
	}
}

void raw_write_text(int fd, const char *text)
{
	raw_write(fd, text, strlen(text));
}

GString *raw_read_to_end(int fd, int64_t wait_ms, bool *was_reset)
{
	struct pollfd poller = {.fd = fd, .events = POLLIN};
	GString *text = g_string_new(NULL);
	char block[RAW_BLOCK_BYTES];
	ssize_t n = 1;

	while (n > 0 && poll(&poller, 1, (int)wait_ms) > 0) {
		n = recv(fd, block, sizeof(block), 0);
		if (n > 0)
			g_string_append_len(text, block, n);
	}
	*was_reset = n < 0 && errno == ECONNRESET;
	return text;
}

GString *raw_read(int fd, int64_t wait_ms)
{
	bool was_reset;

	return raw_read_to_end(fd, wait_ms, &was_reset);
}

GString *raw_unchunk(const GString *response)
{
	GString *body = g_string_new(NULL);
	const char *at = strstr(response->str, "\r\n\r\n");
	const char *end = response->str + response->len;
	gsize n;

	at = at ? at + strlen("\r\n\r\n") : end;
	while ((n = g_ascii_strtoull(at, NULL, 16)) > 0 && (at = strstr(at, "\r\n"))) {
		at += strlen("\r\n");
		g_string_append_len(body, at, (gssize)MIN(n, (gsize)(end - at)));
		if (n + strlen("\r\n") >= (gsize)(end - at))
			break;
		at += n + strlen("\r\n");
	}
	return body;
}
