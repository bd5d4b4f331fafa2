# Stands in for the platform, which owns the listening socket. For each line "config file<TAB>command" on standard
# input it starts that command with the socket as descriptor 0, and prints the id of the process.
use strict;
use warnings;
use IO::Socket::INET;

$| = 1;
$SIG{CHLD} = 'IGNORE';
my $socket = IO::Socket::INET->new(LocalAddr => '127.0.0.1', Listen => 1024) or die "cannot listen: $!";
open(my $commands, '<&', \*STDIN) or die "cannot duplicate standard input: $!";
open(STDIN, '<&', $socket) or die "cannot make the socket descriptor 0: $!";
print $socket->sockport, "\n";
while (my $line = <$commands>) {
    chomp $line;
    my ($config, $command) = split /\t/, $line, 2;
    my $pid = fork;
    if (!$pid) {
        close $commands;
        close $socket;
        open(STDOUT, '>&', \*STDERR);
        $ENV{PROXY_CONFIG} = $config;
        $ENV{PROXY_FD} = 0;
        exec '/bin/sh', '-c', $command;
    }
    print "$pid\n";
}
