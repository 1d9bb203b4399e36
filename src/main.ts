#!/usr/bin/env node
import { runCli } from "./cli/cli";

runCli(process.argv);
