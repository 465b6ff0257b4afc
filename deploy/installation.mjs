/**
 * Tells whether node_modules/ is what the lock file gives on this kind of machine. An installation is recorded after it has succeeded,
 * with a digest of what it was made from, and of all of its files. Whatever was copied from another machine, changed or interrupted
 * since does not match the record.
 */
import { createHash } from 'node:crypto';
import {
  existsSync,
  readdirSync,
  readFileSync,
  readlinkSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';

const RECORD = 'target/installation.json';
const MODULES = 'node_modules';
/** Tools keep caches in folders of node_modules/ whose names begin with a dot; npm keeps the commands of packages in this one. */
const COMMANDS = '.bin';

/** The kind of machine that native packages are chosen by. */
function machineKind() {
  const { platform, arch, versions } = process;
  const libc = process.report.getReport().header.glibcVersionRuntime === undefined ? 'other' : 'glibc';
  return [platform, arch, platform === 'linux' ? libc : '', versions.modules].join(' ');
}

/** The folders of the workspaces of this repository, relative to `root`. */
function workspaces(root) {
  const packages = readdirSync(join(root, 'packages')).map((name) => join('packages', name));
  return [...packages, 'platform'].filter((folder) => existsSync(join(root, folder, 'package.json'))).sort();
}

function digestOf(parts) {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(`${String(part.length)}:`).update(part));
  return hash.digest('hex');
}

function inputsDigest(root) {
  const manifests = ['.', ...workspaces(root)].map((folder) => join(folder, 'package.json'));
  const files = ['package-lock.json', '.npmrc', ...manifests].filter((path) => existsSync(join(root, path)));
  return digestOf([machineKind(), ...files.flatMap((path) => [path, readFileSync(join(root, path))])]);
}

/** Paths, contents and link targets below `path`; the targets of links are not followed. */
function contents(root, path) {
  return readdirSync(join(root, path), { withFileTypes: true })
    .sort((left, right) => (left.name < right.name ? -1 : 1))
    .filter(({ name }) => path !== MODULES || !name.startsWith('.') || name === COMMANDS)
    .flatMap((entry) => {
      const below = join(path, entry.name);
      if (entry.isDirectory()) return contents(root, below);
      const place = join(root, below);
      return [below, digestOf([entry.isSymbolicLink() ? readlinkSync(place) : readFileSync(place)])];
    });
}

function filesDigest(root) {
  const folders = ['.', ...workspaces(root)].map((folder) => join(folder, MODULES));
  return digestOf(
    folders.filter((path) => existsSync(join(root, path))).flatMap((path) => contents(root, path)),
  );
}

function recordOf(root) {
  return `${JSON.stringify({ inputs: inputsDigest(root), files: filesDigest(root) })}\n`;
}

/** Whether node_modules/ is as the last successful installation from the same files on this kind of machine left it. */
export function isInstalled(root) {
  try {
    return readFileSync(join(root, RECORD), 'utf8') === recordOf(root);
  } catch {
    return false;
  }
}

/** Removes packages in folders of the workspaces, where the lock file has none; a package there would be taken first. */
export function removeNestedModules(root) {
  workspaces(root).forEach((folder) => rmSync(join(root, folder, MODULES), { recursive: true, force: true }));
}

/** Records that the installation has succeeded. */
export function recordInstallation(root) {
  const path = join(root, RECORD);
  writeFileSync(`${path}.tmp`, recordOf(root));
  renameSync(`${path}.tmp`, path);
}
