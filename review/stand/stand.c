#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define BODY_MAX (16 * 1024 * 1024)
#define PORTS 6
#define HEAD_MAX (64 * 1024)
#define ITEMS_MAX 512

struct node nodes[NODES_MAX];
int n_nodes;

static struct timespec began;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char temp_dir[128];
static pid_t owner;

/* Time, record, start and end. */

static int64_t clock_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t now_ms(void)
{
	return clock_ms() - ((int64_t)began.tv_sec * 1000 + began.tv_nsec / 1000000);
}

void sleep_ms(int64_t ms)
{
	struct timespec t = {ms / 1000, (ms % 1000) * 1000000};

	while (nanosleep(&t, &t) != 0 && errno == EINTR)
		;
}

void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", (double)now_ms() / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

static void end_processes(void)
{
	if (getpid() != owner)
		return;
	for (int i = 0; i < n_nodes; i++) {
		if (nodes[i].pid > 0) {
			kill(nodes[i].pid, SIGCONT);
			kill(nodes[i].pid, SIGKILL);
			waitpid(nodes[i].pid, NULL, 0);
		}
		if (!getenv("KEEP")) {
			unlink(nodes[i].settings);
			unlink(nodes[i].log);
		}
	}
	if (temp_dir[0] && !getenv("KEEP"))
		rmdir(temp_dir);
}

void stand_end(int result)
{
	static pthread_mutex_t once = PTHREAD_MUTEX_INITIALIZER;

	pthread_mutex_lock(&once);
	record("end: exit code %d", result);
	end_processes();
	_exit(result);
}

void cannot(const char *format, ...)
{
	char text[512];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	fprintf(stderr, "the case can't run: %s\n", text);
	record("the case can't run: %s", text);
	stand_end(STAND_CANNOT);
}

static void *watch_limit(void *arg)
{
	sleep_ms(*(int *)arg * 1000L);
	cannot("it took longer than %d s", *(int *)arg);
	return NULL;
}

static void on_signal(int number)
{
	(void)number;
	end_processes();
	_exit(STAND_CANNOT);
}

static void start_thread(void *(*fn)(void *), void *arg)
{
	pthread_t thread;
	pthread_attr_t attr;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, fn, arg) != 0)
		cannot("no thread: %s", strerror(errno));
	pthread_attr_destroy(&attr);
}

bool stand_begin(const char *folder, int limit_s)
{
	static int limit;
	const char *trouble = getenv("TROUBLE");
	const char *temp = getenv("TMPDIR");
	char path[512];

	clock_gettime(CLOCK_MONOTONIC, &began);
	owner = getpid();
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record_file = fopen(path, "w");
	if (!record_file) {
		fprintf(stderr, "can't write %s\n", path);
		exit(STAND_CANNOT);
	}
	snprintf(temp_dir, sizeof(temp_dir), "%s/review-XXXXXX", temp ? temp : "/tmp");
	if (!mkdtemp(temp_dir))
		cannot("no temporary folder");
	signal(SIGPIPE, SIG_IGN);
	signal(SIGINT, on_signal);
	signal(SIGTERM, on_signal);
	limit = limit_s;
	start_thread(watch_limit, &limit);
	record("start, %s", trouble && strcmp(trouble, "0") == 0 ? "without the disruption"
								 : "with the disruption");
	return !(trouble && strcmp(trouble, "0") == 0);
}

/* Texts. */

void text_add(struct text *t, const void *data, size_t len)
{
	if (t->len + len + 1 > t->room) {
		t->room = 2 * (t->len + len + 1);
		t->data = realloc(t->data, t->room);
		if (!t->data)
			cannot("no memory");
	}
	memcpy(t->data + t->len, data, len);
	t->len += len;
	t->data[t->len] = '\0';
}

void text_print(struct text *t, const char *format, ...)
{
	char *out = NULL;
	va_list args;
	int n;

	va_start(args, format);
	n = vasprintf(&out, format, args);
	va_end(args);
	if (n < 0)
		cannot("no memory");
	text_add(t, out, (size_t)n);
	free(out);
}

void text_free(struct text *t)
{
	free(t->data);
	*t = (struct text){0};
}

/* Sockets. */

static struct sockaddr_in parse_address(const char *address)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	char ip[64];
	const char *colon = strchr(address, ':');

	snprintf(ip, sizeof(ip), "%.*s", colon ? (int)(colon - address) : 63, address);
	inet_pton(AF_INET, ip, &at.sin_addr);
	at.sin_port = htons((uint16_t)(colon ? atoi(colon + 1) : 0));
	return at;
}

bool send_all(int fd, const void *data, size_t len)
{
	const char *at = data;

	while (len > 0) {
		ssize_t n = send(fd, at, len, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		at += n;
		len -= (size_t)n;
	}
	return true;
}

bool answer(int fd, int status, const char *extra, const char *body, size_t len)
{
	struct text t = {0};
	bool ok;

	text_print(&t, "HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n", status, extra, len);
	if (len > 0)
		text_add(&t, body, len);
	ok = send_all(fd, t.data, t.len);
	text_free(&t);
	return ok;
}

bool field(const char *head, const char *name, char *value, size_t room)
{
	size_t n = strlen(name);

	for (const char *line = head; line && *line;) {
		const char *end = strstr(line, "\r\n");
		if (!end)
			end = line + strlen(line);
		if (strncasecmp(line, name, n) == 0 && line[n] == ':') {
			const char *at = line + n + 1;
			while (at < end && *at == ' ')
				at++;
			snprintf(value, room, "%.*s", (int)(end - at), at);
			return true;
		}
		line = *end ? end + 2 : NULL;
	}
	return false;
}

struct listener {
	int fd;
	serve_fn fn;
	void *user;
};

struct connection {
	int fd;
	uint64_t number;
	struct listener *listener;
};

/* Reads until the text holds at least len bytes. */
static bool fill(int fd, struct text *in, size_t len)
{
	char block[16384];

	while (in->len < len) {
		ssize_t n = recv(fd, block, sizeof(block), 0);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		text_add(in, block, (size_t)n);
	}
	return true;
}

static void drop(struct text *t, size_t len)
{
	memmove(t->data, t->data + len, t->len - len + 1);
	t->len -= len;
}

/* Reads a request; what follows it stays in the text. */
static bool read_request(int fd, struct text *in, struct request *r)
{
	char value[64];
	char *end = NULL;
	char *line_end;
	size_t head_len;

	while (!in->data || !(end = strstr(in->data, "\r\n\r\n"))) {
		if (in->len > HEAD_MAX || !fill(fd, in, in->len + 1))
			return false;
	}
	head_len = (size_t)(end - in->data) + 4;
	line_end = strstr(in->data, "\r\n");
	if (sscanf(in->data, "%15s %1023s", r->method, r->target) != 2)
		return false;
	r->head = strndup(line_end + 2, head_len - (size_t)(line_end + 2 - in->data));
	r->len = field(r->head, "Content-Length", value, sizeof(value)) ? strtoul(value, NULL, 10)
									: 0;
	if (r->len > BODY_MAX || !fill(fd, in, head_len + r->len)) {
		free(r->head);
		return false;
	}
	r->body = malloc(r->len + 1);
	memcpy(r->body, in->data + head_len, r->len);
	r->body[r->len] = '\0';
	drop(in, head_len + r->len);
	return true;
}

static void *serve_connection(void *arg)
{
	struct connection *c = arg;
	struct text in = {0};
	struct text late = {0};
	bool open = true;

	while (open) {
		struct request r = {.fd = c->fd,
				    .connection = c->number,
				    .user = c->listener->user,
				    .late = &late};
		if (!read_request(c->fd, &in, &r))
			break;
		open = c->listener->fn(&r);
		free(r.head);
		free(r.body);
	}
	close(c->fd);
	text_free(&in);
	text_free(&late);
	free(c);
	return NULL;
}

static void *accept_all(void *arg)
{
	static uint64_t numbers;
	struct listener *l = arg;
	const int on = 1;

	for (;;) {
		int fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC);
		struct connection *c;
		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c = calloc(1, sizeof(*c));
		c->fd = fd;
		c->number = __atomic_add_fetch(&numbers, 1, __ATOMIC_RELAXED);
		c->listener = l;
		start_thread(serve_connection, c);
	}
	return NULL;
}

void serve(const char *ip, serve_fn fn, void *user, char at[64])
{
	struct listener *l = calloc(1, sizeof(*l));
	struct sockaddr_in address = parse_address(ip);
	socklen_t len = sizeof(address);

	l->fn = fn;
	l->user = user;
	l->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(l->fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(l->fd, 512) != 0)
		cannot("can't listen on %s: %s", ip, strerror(errno));
	getsockname(l->fd, (struct sockaddr *)&address, &len);
	snprintf(at, 64, "%s:%d", ip, ntohs(address.sin_port));
	start_thread(accept_all, l);
}

/* The platform's store. */

struct item {
	char *key;
	char *value; /* NULL: deleted */
	int64_t revision;
	int64_t created;
};

static struct item items[ITEMS_MAX];
static int n_items;
static int64_t revision = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static void add_base64(struct text *t, const char *data)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(data);

	for (size_t i = 0; i < len; i += 3) {
		unsigned char a = (unsigned char)data[i];
		unsigned char b = i + 1 < len ? (unsigned char)data[i + 1] : 0;
		unsigned char c = i + 2 < len ? (unsigned char)data[i + 2] : 0;
		char out[4] = {digits[a >> 2], digits[(a & 3) << 4 | b >> 4],
			       i + 1 < len ? digits[(b & 15) << 2 | c >> 6] : '=',
			       i + 2 < len ? digits[c & 63] : '='};
		text_add(t, out, 4);
	}
}

static void add_item(struct text *t, const struct item *item)
{
	if (!item->value) {
		text_print(t, "{\"key\":\"%s\",\"revision\":%lld,\"deleted\":true}", item->key,
			   (long long)item->revision);
		return;
	}
	text_print(t, "{\"key\":\"%s\",\"value\":\"", item->key);
	add_base64(t, item->value);
	text_print(t, "\",\"revision\":%lld,\"created\":%lld,\"leaseId\":0}",
		   (long long)item->revision, (long long)item->created);
}

static void query_value(const char *target, const char *name, char *value, size_t room)
{
	char want[64];
	const char *at;

	snprintf(want, sizeof(want), "%s=", name);
	value[0] = '\0';
	for (at = strchr(target, '?'); at; at = strchr(at + 1, '&')) {
		if (strncmp(at + 1, want, strlen(want)) == 0) {
			at += 1 + strlen(want);
			snprintf(value, room, "%.*s", (int)strcspn(at, "&"), at);
			return;
		}
	}
}

static int compare_revisions(const void *a, const void *b)
{
	const struct item *left = *(const struct item *const *)a;
	const struct item *right = *(const struct item *const *)b;

	return (left->revision > right->revision) - (left->revision < right->revision);
}

/* Adds the newest change of each key since the revision; returns how many there are. */
static int add_events(struct text *t, const char *prefix, int64_t after)
{
	const struct item *changed[ITEMS_MAX];
	int n = 0;

	for (int i = 0; i < n_items; i++) {
		if (items[i].revision > after && strncmp(items[i].key, prefix, strlen(prefix)) == 0)
			changed[n++] = &items[i];
	}
	qsort(changed, (size_t)n, sizeof(changed[0]), compare_revisions);
	for (int i = 0; i < n; i++) {
		text_print(t, "%s", i > 0 ? "," : "");
		add_item(t, changed[i]);
	}
	return n;
}

static bool serve_range(struct request *r)
{
	char prefix[256];
	char after[256];
	struct text t = {0};
	bool ok;
	int n = 0;

	query_value(r->target, "pathPrefix", prefix, sizeof(prefix));
	query_value(r->target, "after", after, sizeof(after));
	text_print(&t, "{\"items\":[");
	pthread_mutex_lock(&store_lock);
	/* all fit on one page */
	for (int i = 0; i < n_items; i++) {
		if (!items[i].value || strncmp(items[i].key, prefix, strlen(prefix)) != 0 ||
		    strcmp(items[i].key, after) <= 0)
			continue;
		text_print(&t, "%s", n++ > 0 ? "," : "");
		add_item(&t, &items[i]);
	}
	text_print(&t, "],\"hasMore\":false,\"at\":%lld}", (long long)revision);
	pthread_mutex_unlock(&store_lock);
	ok = answer(r->fd, 200, "Content-Type: application/json\r\n", t.data, t.len);
	text_free(&t);
	return ok;
}

static bool serve_watch(struct request *r, const struct store *s)
{
	struct text events = {0};
	struct text t = {0};
	struct timespec until;
	char prefix[256];
	char value[64];
	int64_t after;
	int64_t wait_ms;
	bool is_cut = false;
	bool ok;
	int n;

	query_value(r->target, "pathPrefix", prefix, sizeof(prefix));
	query_value(r->target, "after", value, sizeof(value));
	after = atoll(value);
	query_value(r->target, "waitMs", value, sizeof(value));
	wait_ms = atoll(value);
	pthread_mutex_lock(&store_lock);
	if (s->cut_after_ms > 0 && s->cut_after_ms < wait_ms) {
		wait_ms = s->cut_after_ms;
		is_cut = true;
	}
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += (wait_ms % 1000) * 1000000;
	until.tv_sec += wait_ms / 1000 + until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	while ((n = add_events(&events, prefix, after)) == 0) {
		if (pthread_cond_timedwait(&store_changed, &store_lock, &until) == ETIMEDOUT)
			break;
	}
	text_print(&t, "{\"events\":[%s],\"at\":%lld}", n > 0 ? events.data : "",
		   (long long)revision);
	pthread_mutex_unlock(&store_lock);
	ok = n == 0 && is_cut
		     ? false
		     : answer(r->fd, 200, "Content-Type: application/json\r\n", t.data, t.len);
	text_free(&events);
	text_free(&t);
	return ok;
}

static bool serve_store(struct request *r)
{
	if (strncmp(r->target, "/-/kv-range?", 12) == 0)
		return serve_range(r);
	if (strncmp(r->target, "/-/kv-watch?", 12) == 0)
		return serve_watch(r, r->user);
	return answer(r->fd, 404, "", "", 0);
}

void store_start(struct store *s, const char *ip)
{
	serve(ip, serve_store, s, s->at);
}

static int64_t write_item(const char *key, const char *value)
{
	struct item *item = NULL;

	pthread_mutex_lock(&store_lock);
	for (int i = 0; i < n_items; i++) {
		if (strcmp(items[i].key, key) == 0)
			item = &items[i];
	}
	if (!item) {
		if (n_items == ITEMS_MAX)
			cannot("too many items");
		item = &items[n_items++];
		item->key = strdup(key);
	}
	revision++;
	if (!item->value)
		item->created = revision;
	free(item->value);
	item->value = value ? strdup(value) : NULL;
	item->revision = revision;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	record("store: acknowledges %s of %s, revision %lld", value ? "the write" : "the removal",
	       key, (long long)item->revision);
	return now_ms();
}

int64_t store_put(const char *key, const char *value)
{
	return write_item(key, value);
}

int64_t store_delete(const char *key)
{
	return write_item(key, NULL);
}

int64_t store_put_engine(const char *id, const char *service, const char *address, const char *zone,
			 int slots, const char *state)
{
	struct timespec t;
	char key[256];
	char value[1024];

	clock_gettime(CLOCK_REALTIME, &t);
	snprintf(key, sizeof(key), "servers/%s", id);
	snprintf(value, sizeof(value),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"1.0\","
		 "\"slots\":%d,\"state\":\"%s\",\"coldLeftMs\":0,\"sequence\":1,\"born\":%lld}",
		 service, address, zone, slots, state, (long long)t.tv_sec * 1000 - 3600000LL);
	return store_put(key, value);
}

/* Nodes. */

static bool is_free(const char *ip, int port)
{
	struct sockaddr_in at = parse_address(ip);
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok;

	at.sin_port = htons((uint16_t)port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ok = bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0;
	close(fd);
	return ok;
}

/* Returns the first of PORTS ports that are free on all nodes' addresses. */
static int find_ports(void)
{
	for (int tries = 0; tries < 200; tries++) {
		int base = 12000 +
			   (int)((unsigned)(getpid() * 131 + tries * 977 + clock_ms()) % 18000);
		bool ok = true;
		for (int i = 0; ok && i < n_nodes; i++) {
			for (int k = 0; ok && k < PORTS; k++)
				ok = is_free(nodes[i].ip, base + k);
		}
		if (ok)
			return base;
	}
	cannot("no free ports");
}

/* Writes what deploy/settings.yaml.tmpl makes of the fields of a small deployment. */
static void write_settings(const struct node *n, int index, int base, const struct store *store)
{
	static const char *const regions[][2] = {
		{"zapad-trnava", "zapad"}, {"stred-zilina", "stred"}, {"vychod-kosice", "vychod"}};
	FILE *f = fopen(n->settings, "w");
	const char *region = "";

	if (!f)
		cannot("can't write %s", n->settings);
	for (int i = 0; i < 3; i++) {
		if (strcmp(regions[i][0], n->zone) == 0)
			region = regions[i][1];
	}
	fprintf(f, "adapter: platform\nvm: \"front-%s-%d\"\ndata_centre: \"%s\"\nregion: \"%s\"\n",
		n->zone, index, n->zone, region);
	fprintf(f, "caller_address: \"%s:%d\"\n", n->ip, base);
	fprintf(f, "ready_address: \"%s:%d\"\n", n->ip, base + 1);
	fprintf(f, "lookup_address: \"%s:%d\"\n", n->ip, base + 2);
	fprintf(f, "admin_address: \"%s:%d\"\n", n->ip, base + 3);
	fprintf(f, "metrics_address: \"%s:%d\"\n", n->ip, base + 4);
	fprintf(f, "peer_address: \"%s:%d\"\n", n->ip, base + 5);
	fprintf(f, "source_address: \"%s\"\nseeds:\n", store->at);
	for (int i = 0; i < n_nodes && i < 3; i++)
		fprintf(f, "  - \"%s:%d\"\n", nodes[i].ip, base + 3);
	fprintf(f, "data_centres:\n");
	for (int i = 0; i < 3; i++)
		fprintf(f, "  - name: \"%s\"\n    region: \"%s\"\n", regions[i][0], regions[i][1]);
	fprintf(f, "lookup_ttl_s: \"5\"\nstop_grace_s: \"8\"\nretry_ratio: \"0.2\"\n"
		   "retry_window_s: \"10\"\nretry_slack: \"54\"\ncold_factor: \"1.5\"\n"
		   "cold_slack: \"5\"\nheartbeat_ms: \"1200\"\ncpu_share: \"0.25\"\n");
	fclose(f);
}

void node_start(struct node *n)
{
	n->pid = fork();
	if (n->pid < 0)
		cannot("no process: %s", strerror(errno));
	if (n->pid == 0) {
		int fd = open(n->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		execl("target/currantscaled", "target/currantscaled", n->settings, (char *)NULL);
		_exit(127);
	}
}

void node_signal(const struct node *n, int number)
{
	record("node %s: signal %s", n->front, strsignal(number));
	kill(n->pid, number);
}

long node_rss_kb(const struct node *n)
{
	char path[64];
	char line[256];
	long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", n->pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f)) {
		if (sscanf(line, "VmRSS: %ld", &kb) == 1)
			break;
	}
	if (f)
		fclose(f);
	return kb;
}

void node_wait_ready(const struct node *n, int64_t timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;
	struct reply reply;
	bool ready = false;

	while (!ready && now_ms() < until) {
		call(n->ready, "GET", "x", "/-/readyz", "", "", 0, 1000, &reply);
		ready = reply.status == 200;
		reply_free(&reply);
		if (!ready)
			sleep_ms(50);
	}
	if (!ready)
		cannot("node %s isn't ready within %lld ms", n->front, (long long)timeout_ms);
}

void nodes_start(int n, const struct store *store)
{
	static const char *const zones[] = {"zapad-trnava", "stred-zilina", "vychod-kosice"};
	int base;

	n_nodes = n;
	for (int i = 0; i < n; i++) {
		snprintf(nodes[i].ip, sizeof(nodes[i].ip), "127.%d.%d.%d", 40 + getpid() % 80,
			 1 + (getpid() / 80) % 200, 41 + i);
		snprintf(nodes[i].zone, sizeof(nodes[i].zone), "%s", zones[i % 3]);
	}
	base = find_ports();
	for (int i = 0; i < n; i++) {
		struct node *at = &nodes[i];
		snprintf(at->front, sizeof(at->front), "%s:%d", at->ip, base);
		snprintf(at->ready, sizeof(at->ready), "%s:%d", at->ip, base + 1);
		snprintf(at->directory, sizeof(at->directory), "%s:%d", at->ip, base + 2);
		snprintf(at->settings, sizeof(at->settings), "%s/node-%d.yaml", temp_dir, i + 1);
		snprintf(at->log, sizeof(at->log), "%s/node-%d.log", temp_dir, i + 1);
		write_settings(at, i + 1, base, store);
	}
	for (int i = 0; i < n; i++)
		node_start(&nodes[i]);
	for (int i = 0; i < n; i++)
		node_wait_ready(&nodes[i], 15000);
	sleep_ms(1500); /* they know each other by then */
	record("%d nodes are ready", n);
}

/* Client. */

int dial(const char *address, int timeout_ms)
{
	struct sockaddr_in at = parse_address(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct pollfd p = {.fd = fd, .events = POLLOUT};
	socklen_t len = sizeof(int);
	const int on = 1;
	int failed = 0;

	fcntl(fd, F_SETFL, O_NONBLOCK);
	if (connect(fd, (struct sockaddr *)&at, sizeof(at)) != 0 &&
	    (errno != EINPROGRESS || poll(&p, 1, timeout_ms) <= 0 ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &failed, &len) != 0 || failed != 0)) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, 0);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

/* Reads more; returns END_COMPLETE when bytes came, else how the connection ended. */
static enum end read_more(int fd, struct text *in, int64_t until)
{
	char block[16384];
	struct pollfd p = {.fd = fd, .events = POLLIN};
	int64_t left = until - now_ms();
	ssize_t n;

	if (left <= 0 || poll(&p, 1, (int)left) <= 0)
		return END_TIMEOUT;
	n = recv(fd, block, sizeof(block), 0);
	if (n < 0)
		return END_RESET;
	if (n == 0)
		return END_EARLY; /* an orderly end */
	text_add(in, block, (size_t)n);
	return END_COMPLETE;
}

static void read_by_length(int fd, struct text *in, size_t len, int64_t until, struct reply *reply)
{
	enum end end = END_COMPLETE;

	while (in->len < len && end == END_COMPLETE)
		end = read_more(fd, in, until);
	text_add(&reply->body, in->len > 0 ? in->data : "", in->len < len ? in->len : len);
	reply->end = end;
}

static void read_by_chunks(int fd, struct text *in, int64_t until, struct reply *reply)
{
	enum end end = END_COMPLETE;

	for (;;) {
		char *line_end;
		size_t len;
		while (end == END_COMPLETE && (!in->data || !strstr(in->data, "\r\n")))
			end = read_more(fd, in, until);
		line_end = in->data ? strstr(in->data, "\r\n") : NULL;
		if (!line_end)
			break;
		len = strtoul(in->data, NULL, 16);
		drop(in, (size_t)(line_end + 2 - in->data));
		while (end == END_COMPLETE && in->len < len + 2)
			end = read_more(fd, in, until);
		text_add(&reply->body, in->data, in->len < len ? in->len : len);
		if (in->len < len + 2)
			break;
		drop(in, len + 2);
		if (len == 0) {
			reply->end = END_COMPLETE;
			return;
		}
	}
	reply->end = end;
}

void read_reply(int fd, int64_t timeout_ms, struct reply *reply)
{
	int64_t from = now_ms();
	int64_t until = from + timeout_ms;
	struct text in = {0};
	char value[128];
	char *end = NULL;
	enum end state = END_COMPLETE;

	*reply = (struct reply){.end = END_NO_ANSWER};
	while (state == END_COMPLETE && (!in.data || !(end = strstr(in.data, "\r\n\r\n"))))
		state = read_more(fd, &in, until);
	if (!end || sscanf(in.data, "HTTP/1.1 %d", &reply->status) != 1) {
		reply->end = state == END_EARLY ? END_NO_ANSWER : state;
		reply->took_ms = now_ms() - from;
		text_free(&in);
		return;
	}
	snprintf(reply->head, sizeof(reply->head), "%.*s", (int)(end + 2 - in.data), in.data);
	drop(&in, (size_t)(end + 4 - in.data));
	if (field(reply->head, "Transfer-Encoding", value, sizeof(value))) {
		reply->framing = FRAMED_CHUNKED;
		read_by_chunks(fd, &in, until, reply);
	} else if (field(reply->head, "Content-Length", value, sizeof(value))) {
		reply->framing = FRAMED_LENGTH;
		read_by_length(fd, &in, strtoul(value, NULL, 10), until, reply);
	} else {
		/* the answer ends with its connection: an orderly end completes it */
		reply->framing = FRAMED_CLOSE;
		while (state == END_COMPLETE)
			state = read_more(fd, &in, until);
		text_add(&reply->body, in.len > 0 ? in.data : "", in.len);
		reply->end = state == END_EARLY ? END_COMPLETE : state;
	}
	reply->took_ms = now_ms() - from;
	text_free(&in);
}

void call(const char *address, const char *method, const char *host, const char *target,
	  const char *fields, const void *body, size_t len, int64_t timeout_ms, struct reply *reply)
{
	struct text t = {0};
	int64_t from = now_ms();
	int fd = dial(address, 1000);

	if (fd < 0) {
		*reply = (struct reply){.end = END_UNCONNECTED};
		return;
	}
	text_print(&t, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, target, host, fields);
	if (len > 0 || strcmp(method, "POST") == 0)
		text_print(&t, "Content-Length: %zu\r\n", len);
	text_print(&t, "\r\n");
	text_add(&t, body, len);
	send_all(fd, t.data, t.len);
	text_free(&t);
	read_reply(fd, timeout_ms - (now_ms() - from), reply);
	reply->took_ms = now_ms() - from;
	close(fd);
}

void reply_free(struct reply *reply)
{
	text_free(&reply->body);
}

const char *end_name(enum end end)
{
	static const char *const names[] = {"complete",
					    "ended early",
					    "reset",
					    "no end in time",
					    "closed without an answer",
					    "no connection"};

	return names[end];
}

const char *framing_name(enum framing framing)
{
	static const char *const names[] = {"by length", "by chunks", "by the connection's end"};

	return names[framing];
}

void new_id(char id[17])
{
	static uint64_t last;
	uint64_t n = __atomic_add_fetch(&last, 1, __ATOMIC_RELAXED);

	snprintf(id, 17, "%08x%08x", (unsigned)getpid() * 2654435761U, (unsigned)n);
}
