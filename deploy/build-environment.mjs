/** Variables that programs of the build need, or that say how a registry is reached. */
const PASSED_ON = [
  /^(PATH|HOME|LANG|TMPDIR)$/,
  /^(https?_proxy|no_proxy|all_proxy)$/i,
  /^(SSL_CERT_FILE|SSL_CERT_DIR|NODE_EXTRA_CA_CERTS)$/,
  /^npm_config_(registry|cache|userconfig|globalconfig|offline|proxy|https_proxy|noproxy|ca|cafile|cert|key|strict_ssl)$/i,
  /^npm_config_(fetch_\w+|maxsockets|@.*|\/\/.*)$/i,
];

/**
 * The environment of the build's programs. Others, such as `NODE_ENV`, options of Node.js, and settings of npm that leave out
 * dependencies, would change what is built.
 */
export function buildEnvironment(environment) {
  return Object.fromEntries(
    Object.entries(environment).filter(([name]) => PASSED_ON.some((pattern) => pattern.test(name))),
  );
}
