process.stderr.write('no experiment is defined yet\n');
process.exitCode = 2;
